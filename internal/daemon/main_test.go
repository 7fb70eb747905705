package daemon

import (
	"testing"

	"landingpaddle/internal/arrival/arrivaltest"
)

func TestMain(m *testing.M) { arrivaltest.RunTests(m) }
