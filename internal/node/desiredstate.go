package node

import (
	"bytes"

	"go.uber.org/zap"

	"github.com/basilway/basilway/metastore"
)

// maxLoggedWarnings is the number of warnings about a desired state that are logged.
const maxLoggedWarnings = 5

// mergeDesiredState applies row, the row of the desired state, to v if it is newer than the one in
// force by the operator's version, which outlasts a store that goes back. The kept row has the
// newest valid value, for other nodes, at the newest version of the row. It returns whether
// anything was new. decoded is what row holds, nil if it was not new before s.mu was locked. s.mu must be held.
func (s *viewStore) mergeDesiredState(v *View, row metastore.Row, decoded *decodedDesiredState, forwarded bool) bool {
	known := s.rows[row.Key]
	if decoded == nil || isSameRow(row, known) {
		return false
	}
	table, err := decoded.table, decoded.err
	if err != nil {
		s.log.Error("desired state cannot be used; the one before stays in force", zap.Uint64("row version", row.Version),
			zap.Bool("from another node", forwarded), zap.Error(err))
		return s.keepDesiredState(row.Version, known)
	}
	if v.Routes != nil && table.Version < v.Routes.Version {
		if row.Version > known.Version {
			s.log.Warn("older desired state ignored", zap.Uint64("version", table.Version), zap.Uint64("in force", v.Routes.Version),
				zap.Bool("from another node", forwarded), zap.Uint64("generation", metastore.Generation(row.Version)))
		}
		return s.keepDesiredState(row.Version, known)
	}
	if v.Routes != nil && table.Version == v.Routes.Version && (row.Version <= known.Version || bytes.Equal(row.Value, known.Value)) {
		return s.keepDesiredState(row.Version, known)
	}
	row.Version = max(row.Version, known.Version)
	s.rows[row.Key], v.Routes = row, table
	s.log.Info("desired state applied", zap.Uint64("version", table.Version), zap.Bool("from another node", forwarded),
		zap.Uint64("row version", row.Version), zap.Int("bytes", len(row.Value)), zap.Duration("decoded in", decoded.took))
	if warnings := table.Warnings; len(warnings) > 0 {
		s.log.Warn("entries of the desired state cannot do what they say", zap.Uint64("version", table.Version), zap.Int("warnings", len(warnings)),
			zap.Stringers("first", warnings[:min(len(warnings), maxLoggedWarnings)]))
	}
	if s.onDesiredState != nil {
		s.onDesiredState(table.Version, forwarded)
	}
	return true
}

// keepDesiredState records that the row was read at a version without a newer desired state.
func (s *viewStore) keepDesiredState(version uint64, known metastore.Row) bool {
	if known.Version == 0 || version <= known.Version {
		return false
	}
	known.Version = version
	s.rows[known.Key] = known
	return true
}

// isSameRow reports whether a row is the known one.
func isSameRow(row, known metastore.Row) bool {
	return row.Version == known.Version && bytes.Equal(row.Value, known.Value)
}

// decodeDesiredStates decodes the new desired states among rows. It takes long for large ones, and requests need s.mu,
// which must not be held. The caller calls end once they are applied.
func (s *viewStore) decodeDesiredStates(rows []metastore.Row) (out []*decodedDesiredState, end func()) {
	out = make([]*decodedDesiredState, len(rows))
	var ends []func()
	for i, row := range rows {
		if row.Key != s.protocol.DesiredStateRow() {
			continue
		}
		s.mu.Lock()
		known := s.rows[row.Key]
		s.mu.Unlock()
		if isSameRow(row, known) {
			continue
		}
		if s.beginDecode != nil && known.Version > 0 && row.Version > known.Version {
			ends = append(ends, s.beginDecode())
		}
		out[i] = s.decoder.decode(row)
	}
	return out, func() {
		for _, end := range ends {
			end()
		}
	}
}

// desiredState returns the version of the desired state in force, 0 if there is none, and its row.
func (s *viewStore) desiredState() (uint64, metastore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.Routes == nil {
		return 0, metastore.Row{}
	}
	return s.view.Routes.Version, s.rows[s.protocol.DesiredStateRow()]
}
