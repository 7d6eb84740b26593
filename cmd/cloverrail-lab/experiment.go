package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/lab/experiment"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "compare routing policies in virtual time; the same seed gives the same figures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "kuusisto", Usage: "`PROFILE`: kuusisto or dakar"},
			&cli.StringFlag{Name: "policy", Value: "all", Usage: "`POLICY`, several with commas, or all"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORMAT`: table or json"},
			&cli.StringFlag{Name: "report", Usage: "write plots and a page into `DIR`"},
		},
		Action: runExperiment,
	}
}

func parsePolicies(text string) ([]string, error) {
	if text == "all" {
		return experiment.PolicyNames, nil
	}
	known := strings.Join(experiment.PolicyNames, ", ")
	names := strings.Split(text, ",")
	for _, name := range names {
		if !strings.Contains(", "+known+",", ", "+name+",") {
			return nil, errors.Errorf("%q is not a policy; use all or some of: %s", name, known)
		}
	}
	return names, nil
}

func runExperiment(_ context.Context, command *cli.Command) error {
	profile, err := experiment.FindProfile(command.String("profile"))
	if err != nil {
		return err
	}
	names, err := parsePolicies(command.String("policy"))
	if err != nil {
		return err
	}
	report := experiment.Run(profile, names, command.Uint64("seed"))
	if directory := command.String("report"); directory != "" {
		if err := experiment.WritePage(directory, report); err != nil {
			return err
		}
	}
	if command.String("output") == "json" {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return printReport(report)
}

func printReport(report experiment.Report) error {
	columns := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(columns, "%s, seed %d\trequests\thit rate\trecomputed\tover oracle\tTTFT p50\tp95\tp99 ms\tTBT p95 ms\trefused\t\n", report.Profile, report.Seed)
	for _, policy := range report.Policies {
		fmt.Fprintf(columns, "%s\t%d\t%.1f %%\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\t\n", policy.Name, policy.Requests, 100*policy.HitRate,
			policy.RecomputedTokens, policy.RecomputedOverOracle, policy.FirstTokenP50, policy.FirstTokenP95, policy.FirstTokenP99, policy.InterTokenP95, policy.Refused)
	}
	return columns.Flush()
}
