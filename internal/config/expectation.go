package config

import (
	"path"
	"slices"
	"strconv"

	"landingpaddle/expect"
	"landingpaddle/internal/sexpr"
)

const expectationUsage = `want (expect "name" CLAIM) or (expect "name" CLAIM (with 1 (node *) gone)), ` +
	`CLAIM one of (at-most 0.8 (MEASURE OF)), (at-least …), (always (reachable OF)), (never (send OF))`

// Heads of claims.
const (
	claimAtMost  = "at-most"
	claimAtLeast = "at-least"
	claimAlways  = "always"
	claimNever   = "never"
)

// parseExpectations parses the (expect …) forms of a fleet.
func parseExpectations(model *expect.Model, forms []*sexpr.Node) ([]expect.Expectation, error) {
	var expectations []expect.Expectation
	firstPos := map[string]sexpr.Pos{}
	for _, form := range forms {
		expectation, err := parseExpectation(model, form)
		if err != nil {
			return nil, err
		}
		if first, found := firstPos[expectation.Name]; found {
			return nil, sexpr.Errorf(form.Pos, "duplicate expectation %q; first at %v",
				expectation.Name, first)
		}
		firstPos[expectation.Name] = form.Pos
		expectations = append(expectations, expectation)
	}
	return expectations, nil
}

// parseExpectation parses (expect "name" CLAIM) or (expect "name" CLAIM (with …)).
func parseExpectation(model *expect.Model, form *sexpr.Node) (expectation expect.Expectation, err error) {
	if len(form.List) < 3 || len(form.List) > 4 || form.List[1].IsList() || form.List[1].Text == "" {
		return expectation, sexpr.Errorf(form.Pos, "%s", expectationUsage)
	}
	expectation.Name, expectation.Place = form.List[1].Text, form.Pos.String()
	measured, err := parseClaim(form.List[2], &expectation)
	if err != nil {
		return expectation, err
	}
	if err := parseMeasured(model, measured, &expectation); err != nil {
		return expectation, err
	}
	if len(form.List) == 4 {
		expectation.Missing, err = parseMissing(model, form.List[3])
	}
	return expectation, err
}

// parseClaim sets an expectation's bound from a claim and returns the form (MEASURE OF). An always claim
// means at least 1, a never claim at most 0.
func parseClaim(claim *sexpr.Node, expectation *expect.Expectation) (measured *sexpr.Node, err error) {
	switch head := claim.Head(); {
	case (head == claimAtMost || head == claimAtLeast) && len(claim.List) == 3:
		expectation.AtMost = head == claimAtMost
		expectation.Bound, err = parseBound(claim.List[1])
		return claim.List[2], err
	case head == claimAlways && len(claim.List) == 2:
		expectation.Bound = 1
		return claim.List[1], requireMeasure(claim, expect.Reach)
	case head == claimNever && len(claim.List) == 2:
		expectation.AtMost = true
		return claim.List[1], requireMeasure(claim, expect.Send)
	}
	return nil, sexpr.Errorf(claim.Pos, "%s", expectationUsage)
}

func parseBound(node *sexpr.Node) (float64, error) {
	bound, err := strconv.ParseFloat(node.Text, 64)
	if err != nil || !(bound >= 0) { // also rejects NaN
		return 0, sexpr.Errorf(node.Pos, "found %v; want a part, 1 being all, as 0.8", node)
	}
	return bound, nil
}

// requireMeasure returns an error if the measure of a claim without a bound, such as (always …), is not the
// one that the claim accepts.
func requireMeasure(claim *sexpr.Node, want expect.Measure) error {
	measured := claim.List[1]
	if measured.Head() != string(want) {
		return sexpr.Errorf(measured.Pos, "found %v; want (%s …) after %s", measured, want, claim.Head())
	}
	return nil
}

// parseMeasured parses the measure and the selector of (MEASURE OF).
func parseMeasured(model *expect.Model, measured *sexpr.Node, expectation *expect.Expectation) (err error) {
	expectation.Measure = expect.Measure(measured.Head())
	kinds := expect.SelectorKinds[expectation.Measure]
	if kinds == nil || len(measured.List) != 2 {
		return sexpr.Errorf(measured.Pos,
			"found %v; want a measure of something: reachable, reserve, share, limit, cold or send", measured)
	}
	expectation.Of, err = parseSelector(model, measured.List[1], kinds)
	return err
}

// parseMissing parses (with 1 (node *) gone).
func parseMissing(model *expect.Model, with *sexpr.Node) (*expect.Missing, error) {
	if with.Head() != "with" || len(with.List) != 4 || with.List[3].Text != "gone" {
		return nil, sexpr.Errorf(with.Pos, "found %v; want (with 1 (node *) gone)", with)
	}
	count, err := strconv.Atoi(with.List[1].Text)
	if err != nil || count < 1 {
		return nil, sexpr.Errorf(with.List[1].Pos, "found %v; want how many are gone at once", with.List[1])
	}
	of, err := parseSelector(model, with.List[2], []expect.Kind{expect.Nodes, expect.Zones})
	if err != nil {
		return nil, err
	}
	return &expect.Missing{Count: count, Of: of}, nil
}

// parseSelector parses a selector of one of the given kinds, which must match at least one object.
func parseSelector(model *expect.Model, node *sexpr.Node, kinds []expect.Kind) (expect.Selector, error) {
	if len(node.List) != 2 || node.List[1].IsList() || !slices.Contains(kinds, expect.Kind(node.Head())) {
		return expect.Selector{}, sexpr.Errorf(node.Pos, "found %v; want one of %v with a name, as (%s *)",
			node, kinds, kinds[0])
	}
	selector := expect.Selector{Kind: expect.Kind(node.Head()), Name: node.List[1].Text}
	if _, err := path.Match(selector.Name, ""); err != nil {
		return expect.Selector{}, sexpr.Errorf(node.List[1].Pos, "invalid pattern %q: %v", selector.Name, err)
	}
	if model.SelectsNothing(selector) {
		return expect.Selector{}, sexpr.Errorf(node.Pos, "%v matches nothing", selector)
	}
	return selector, nil
}
