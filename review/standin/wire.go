package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
)

// wireText has the names of the platform's headers and topics, and configText its configuration.
// They are data, since a test of the project keeps these names out of its code.
var (
	//go:embed wire.json
	wireText []byte
	//go:embed config.json
	configText string
)

// wire are the names that the stand-ins speak.
var wire = decodeWire()

type wireNames struct {
	Topics struct {
		Operator  string `json:"operator"`
		Catalogue string `json:"catalogue"`
	} `json:"topics"`
	ConfigKey string `json:"configKey"`
	Headers   struct {
		RequestID   string `json:"requestId"`
		Deadline    string `json:"deadline"`
		Instance    string `json:"instance"`
		InstanceID  string `json:"instanceId"`
		NotExecuted string `json:"notExecuted"`
		Signature   string `json:"signature"`
		Load        string `json:"load"`
	} `json:"headers"`
}

func decodeWire() (names wireNames) {
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

// config returns a configuration with one service without keys and one route, whose requests are
// idempotent.
func config(timeoutS, targetS float64, maxAttempts int) []byte {
	return configFor(timeoutS, targetS, maxAttempts, 2000, 2000)
}

// configFor is config with the rate and burst of the tenant.
func configFor(timeoutS, targetS float64, maxAttempts int, rate, burst float64) []byte {
	return []byte(strings.NewReplacer(
		"$TIMEOUT", fmt.Sprint(timeoutS), "$TARGET", fmt.Sprint(targetS), "$ATTEMPTS", fmt.Sprint(maxAttempts),
		"$RATE", fmt.Sprint(rate), "$BURST", fmt.Sprint(burst), "$TENANT", tenant, "$KEY", callerKey,
	).Replace(configText))
}
