package lease

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-playground/validator/v10"

	"github.com/basilway/basilway/cluster"
	"github.com/basilway/basilway/metastore"
)

// Guards against a fence that counts seals which do not apply to the session row: of
// another generation or session, of a witness that the row does not name, or of
// another incarnation of a named one.
func TestUnrelatedSealsAreIgnored(t *testing.T) {
	session, now := cluster.Session{Instance: "h", Incarnation: 1}, simEpoch
	named := []cluster.Session{{Instance: "a", Incarnation: 1}, {Instance: "b", Incarnation: 1}, {Instance: "c", Incarnation: 1}}
	row := SessionRow{WitnessSet: WitnessSet{Generation: 5, Witnesses: named}, State: RowActive}
	takeover := NewTakeover(DefaultConfig(), session, named[0])
	takeover.Handle(now, Tick{})
	takeover.Handle(now, RowRead{Attempt: 1, Outcome: OutcomeApplied,
		Session: metastore.Row{Key: SessionKey(session), Value: row.Encode(), Version: 9}})
	restarted := cluster.Session{Instance: "b", Incarnation: 2}
	unnamed := cluster.Session{Instance: "d", Incarnation: 1}
	unrelated := []Sealed{
		{Session: session, Witness: named[1], Generation: 4, Status: SealDone},
		{Session: session, Witness: named[1], Generation: 6, Status: SealDone},
		{Session: session, Witness: restarted, Generation: 5, Status: SealDone},
		{Session: session, Witness: unnamed, Generation: 5, Status: SealDone},
		{Session: unnamed, Witness: named[1], Generation: 5, Status: SealDone},
	}
	fence := func(actions []Action) *CommitFence {
		for _, a := range actions {
			if f, ok := a.(CommitFence); ok {
				return &f
			}
		}
		return nil
	}
	own := Sealed{Session: session, Witness: named[0], Generation: 5, Status: SealDone}
	for _, m := range append(unrelated, own, own) {
		if fence(takeover.Handle(now, m)) != nil {
			t.Fatalf("a fence after %+v", m)
		}
	}
	own.Witness, own.Remaining = named[1], 100*time.Millisecond
	if fence(takeover.Handle(now, own)) != nil || fence(takeover.Handle(now.Add(100*time.Millisecond), Tick{})) != nil {
		t.Fatal("a fence before the remaining time has passed")
	}
	f := fence(takeover.Handle(now.Add(102*time.Millisecond), Tick{}))
	if f == nil || len(f.Conditions) != 1 || f.Conditions[0].Version != 9 {
		t.Fatalf("fence %+v", f)
	}
}

// Guards against stored or sent values that another version cannot read: all map keys
// must be integers.
func TestMessagesHaveIntegerKeys(t *testing.T) {
	s := cluster.Session{Instance: "a", Incarnation: 7}
	for _, v := range []any{
		SessionRow{WitnessSet: WitnessSet{Generation: 1, Witnesses: []cluster.Session{s}, Store: true}, State: RowActive},
		RenewalRow{Sequence: 1}, Renew{s, s, 1, 2, 3, 4}, Granted{s, s, 1, 2, 3},
		Refused{s, s, 1, 2, RefusedSealed, 3}, Seal{s, s, 1}, Sealed{s, s, 1, SealDone, time.Second}, Expired{s, s, 1},
	} {
		var m map[int]any
		if err := cbor.Unmarshal(encode(v), &m); err != nil || len(m) == 0 {
			t.Errorf("%T: %v, %v", v, m, err)
		}
	}
}

// Guards against defaults that violate the validation tags, and against tags that
// accept a renewal interval as long as a grant.
func TestDefaultConfigIsValid(t *testing.T) {
	v := validator.New()
	c := DefaultConfig()
	if err := v.Struct(c); err != nil {
		t.Error(err)
	}
	c.RenewInterval = c.GrantDuration
	if v.Struct(c) == nil {
		t.Error("RenewInterval equal to GrantDuration is accepted")
	}
}
