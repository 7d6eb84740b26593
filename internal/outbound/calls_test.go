package outbound

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// testTools holds the folders of programs that are never deployed, and of their parts.
var testTools = []string{"internal/lab", "cmd/cloverrail-lab", "platform/standin", "review", "examples"}

// unbounded holds the functions and types by which a call could be made without the bound of a Transport.
var unbounded = map[string][]string{
	"http": {"Client", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"},
	"net":  {"Dial", "DialTimeout", "DialTCP", "DialUDP", "DialUnix", "DialIP"},
	"tls":  {"Dial", "DialWithDialer"},
}

// Guards against calls to the store, to servers and to other nodes that may last for good: a client that
// this package has not made, a dialer without a timeout, or a call by the library's default client.
func TestEachCallHasBound(t *testing.T) {
	root := filepath.Join("..", "..")
	files := 0
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		if entry.IsDir() {
			if slices.Contains(testTools, relative) || relative == "internal/outbound" || strings.HasPrefix(entry.Name(), ".") && path != root {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, problem := range unboundedCalls(file) {
			t.Errorf("%s: %s; make the client by package outbound, and list the call in docs/decisions/outside-calls.md", set.Position(problem.at), problem.text)
		}
		return nil
	}))
	require.Greater(t, files, 100, "the sources were not found")
}

type problem struct {
	at   token.Pos
	text string
}

// unboundedCalls returns the places of a file that may make a call without a bound.
func unboundedCalls(file *ast.File) (problems []problem) {
	add := func(node ast.Node, text string) { problems = append(problems, problem{node.Pos(), text}) }
	pointers := map[ast.Expr]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.StarExpr:
			// The type of a variable makes no client.
			pointers[node.X] = true
		case *ast.SelectorExpr:
			if x, ok := node.X.(*ast.Ident); ok && !pointers[node] && slices.Contains(unbounded[x.Name], node.Sel.Name) {
				add(node, fmt.Sprintf("%s.%s has no bound", x.Name, node.Sel.Name))
			}
		case *ast.CompositeLit:
			if isSelector(node.Type, "net", "Dialer") && !hasField(node, "Timeout") {
				add(node, "net.Dialer has no Timeout")
			}
			if isSelector(node.Type, "http", "Transport") && !hasField(node, "MaxResponseHeaderBytes") {
				add(node, "http.Transport has no MaxResponseHeaderBytes")
			}
		case *ast.CallExpr:
			if usesDefaultClient(node) {
				add(node, "sling uses the default client, which has no bound")
			}
		}
		return true
	})
	return problems
}

func isSelector(expression ast.Expr, pkg, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	x, ok := selector.X.(*ast.Ident)
	return ok && x.Name == pkg && selector.Sel.Name == name
}

func hasField(literal *ast.CompositeLit, name string) bool {
	return slices.ContainsFunc(literal.Elts, func(element ast.Expr) bool {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, ok := pair.Key.(*ast.Ident)
		return ok && key.Name == name
	})
}

// usesDefaultClient reports whether a call sends a request by a chain of sling's methods that sets no
// client.
func usesDefaultClient(call *ast.CallExpr) bool {
	methods := []string{}
	for {
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return false
		}
		methods = append(methods, selector.Sel.Name)
		if isSelector(call.Fun, "sling", "New") {
			break
		}
		if call, ok = selector.X.(*ast.CallExpr); !ok {
			return false
		}
	}
	sends := slices.Contains([]string{"Do", "Receive", "ReceiveSuccess"}, methods[0])
	return sends && !slices.Contains(methods, "Client") && !slices.Contains(methods, "Doer")
}

func TestUnboundedCallsAreFound(t *testing.T) {
	for source, found := range map[string]int{
		`var c = &http.Client{}`:                                1,
		`var c *http.Client`:                                    0,
		`func f() { http.DefaultClient.Do(nil) }`:               1,
		`func f() { net.Dial("tcp", "a") }`:                     1,
		`var d = net.Dialer{}`:                                  1,
		`var d = net.Dialer{Timeout: 1}`:                        0,
		`var t = &http.Transport{}`:                             1,
		`var t = &http.Transport{MaxResponseHeaderBytes: 1}`:    0,
		`func f() { sling.New().Get("a").ReceiveSuccess(nil) }`: 1,
		`func f() { sling.New().Client(c).Do(r, nil, nil) }`:    0,
		`func f() { sling.New().Doer(c).Do(r, nil, nil) }`:      0,
		`func f() { sling.New().Base("a").Get("b").Request() }`: 0,
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "", "package p\n"+source, 0)
		require.NoError(t, err, source)
		require.Len(t, unboundedCalls(file), found, source)
	}
}
