package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/operator"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

const requestTimeout = 30 * time.Second

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: "table", Usage: "`FORMAT`: table or json", Validator: func(format string) error {
		if format != "table" && format != "json" {
			return errors.Errorf("unknown format %q; use table or json", format)
		}
		return nil
	}}
}

func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "node", Value: "127.0.0.1:8082", Usage: "operator `IP:PORT` of any node", Sources: cli.EnvVars(environmentPrefix + "NODE")},
		&cli.StringFlag{Name: "key", Usage: "operator `KEY`", Sources: cli.EnvVars(environmentPrefix + "OPERATOR_KEY")},
		outputFlag(),
	}
}

// post sends one message to a node's operator API.
func post[Answer any](ctx context.Context, command *cli.Command, path string, message any) (Answer, error) {
	return send[Answer](ctx, command, sling.New().Post("http://"+command.String("node")+"/operator/"+path).BodyJSON(message))
}

func send[Answer any](ctx context.Context, command *cli.Command, call *sling.Sling) (Answer, error) {
	var answer Answer
	request, err := call.Set("Authorization", "Bearer "+command.String("key")).Request()
	if err != nil {
		return answer, errors.Trace(err)
	}
	var refusal operator.ErrorResponse
	response, err := sling.New().Client(outbound.NewClient(requestTimeout)).Do(request.WithContext(ctx), &answer, &refusal)
	if err != nil {
		return answer, failure.New(failure.KindUnavailable, "call to the node failed: "+err.Error(), "choose another node with --node").WithOutcome(failure.Unknown)
	}
	if response.StatusCode != http.StatusOK {
		return answer, &failure.Failure{Kind: refusal.Kind, Outcome: refusal.Outcome, Problem: refusal.Problem, Remedy: refusal.Remedy}
	}
	return answer, nil
}

// print writes a value as JSON, or as the table that table returns.
func print(command *cli.Command, value any, table func() *operator.Table) error {
	if command.String("output") == "json" {
		encoder := json.NewEncoder(writer(command))
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	shown := table()
	columns := tabwriter.NewWriter(writer(command), 0, 4, 2, ' ', 0)
	fmt.Fprintln(columns, strings.ToUpper(strings.Join(shown.Columns, "\t")))
	for _, row := range shown.Rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "run one statement of the operator language",
		ArgsUsage: "STATEMENT",
		Description: `Examples:
  cloverrail query 'show engines where state = draining'
  cloverrail query 'show prefixes hot limit 10'
  cloverrail query 'drain engine espoo-a-1'
  cloverrail query 'set tenant studio-aalto priority 3'`,
		Flags: clientFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStatement(ctx, command, strings.Join(command.Args().Slice(), " "))
		},
	}
}

func runStatement(ctx context.Context, command *cli.Command, statement string) error {
	if _, err := operator.Parse(statement); err != nil {
		return err
	}
	table, err := post[operator.Table](ctx, command, "query", operator.QueryRequest{Statement: statement})
	if err != nil {
		return err
	}
	return print(command, table, func() *operator.Table { return &table })
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "stop new work for an engine or server, fleet-wide",
		ArgsUsage:   "NAME",
		Description: "Undo it with: cloverrail query 'readmit engine NAME'\n\nExample:\n  cloverrail drain espoo-a-1",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return runStatement(ctx, command, "drain engine "+command.Args().First())
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show a node's state",
		Description: "Example:\n  cloverrail status --node 127.0.0.1:8082 --output json",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			answer, err := send[operator.StatusResponse](ctx, command, sling.New().Get("http://"+command.String("node")+"/operator/status"))
			if err != nil {
				return err
			}
			return print(command, answer, func() *operator.Table {
				return &operator.Table{Columns: []string{"ready", "revision", "change", "nodes", "index_blocks"}, Rows: [][]string{{
					fmt.Sprint(answer.Ready), fmt.Sprint(answer.Revision), answer.ChangeID, fmt.Sprint(answer.Nodes), fmt.Sprint(answer.IndexBlocks)}}}
			})
		},
	}
}
