// Package deps keeps the required modules in go.mod until code imports them.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/google/uuid"
	_ "github.com/gravitational/trace"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/hashicorp/golang-lru/v2/expirable"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/onsi/gomega/gbytes"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/viper"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
