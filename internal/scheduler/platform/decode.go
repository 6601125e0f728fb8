package platform

import (
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// decodedRequest is a decoded placement request or hand-over.
type decodedRequest struct {
	ref    requestRef
	task   forkhead.Task
	host   string // name of the host that already runs the task; "": none does
	digest uint64 // hash of the content, see requestDigest
}

// isHandOver reports whether the message hands over a task that a host already runs.
func (d *decodedRequest) isHandOver() bool { return d.host != "" }

// requestDecoder decodes one part of a request. It returns false if that part is malformed.
type requestDecoder func(c *Core, m *platform.Message, into *decodedRequest) bool

// requestDecoders are called in order, as a part may depend on an earlier one.
var requestDecoders = []requestDecoder{
	(*Core).decodeClass,
	(*Core).decodeTenant,
	(*Core).decodeKeys,
	(*Core).decodeExtras,
	(*Core).decodeTimeout,
	(*Core).decodeLifetime,
}

// decodeRequest decodes a request. It returns false if the request is malformed.
func (c *Core) decodeRequest(m *platform.Message) (*decodedRequest, bool) {
	if m.Description == nil {
		return nil, false
	}
	decoded := &decodedRequest{ref: requestRef(m.Ref)}
	for _, decode := range requestDecoders {
		if !decode(c, m, decoded) {
			return nil, false
		}
	}
	decoded.digest = requestDigest(m)
	return decoded, true
}

func (c *Core) decodeClass(m *platform.Message, into *decodedRequest) bool {
	name, _ := m.Text(platform.FieldClass)
	into.task.Class = slices.Index(c.config.Names.Classes, name)
	return into.task.Class >= 0
}

func (c *Core) decodeTenant(m *platform.Message, into *decodedRequest) bool {
	if len(c.config.Names.Tenants) == 0 {
		return true
	}
	name, _ := m.Text(platform.FieldTenant)
	into.task.Tenant = slices.Index(c.config.Names.Tenants, name)
	return into.task.Tenant >= 0
}

// decodeKeys decodes the identity of the task and checks that a task of a keyed class has an idempotency key.
func (c *Core) decodeKeys(m *platform.Message, into *decodedRequest) (ok bool) {
	key, _ := m.Text(platform.FieldTaskKey)
	if into.task.Key, ok = parseHex(key); !ok {
		return false
	}
	idempotencyKey, _ := m.Text(platform.FieldIdempotencyKey)
	return idempotencyKey != "" || c.settings.Classes[into.task.Class].Effect != forkhead.Keyed
}

// extraDecoders decode the items of FieldExtras by their names and return false if an item is malformed. Items with
// other names are ignored.
var extraDecoders = map[platform.Extra]func(value string, into *decodedRequest) bool{
	platform.ExtraCores: func(value string, into *decodedRequest) (ok bool) {
		into.task.Cores, ok = parseNumber(value)
		return ok
	},
	platform.ExtraMemory: func(value string, into *decodedRequest) (ok bool) {
		into.task.Memory, ok = parseNumber(value)
		return ok
	},
	platform.ExtraService: func(value string, into *decodedRequest) (ok bool) {
		into.task.Service, ok = parseHex(value)
		return ok
	},
	platform.ExtraResubmitted: func(value string, into *decodedRequest) bool {
		into.task.Resubmitted = value != "0"
		return true
	},
	platform.ExtraHost: func(value string, into *decodedRequest) bool {
		into.host = value
		return value != ""
	},
}

// decodeExtras decodes the items of FieldExtras, in which no name may occur twice.
func (c *Core) decodeExtras(m *platform.Message, into *decodedRequest) bool {
	extras, _ := m.Text(platform.FieldExtras)
	seen := map[platform.Extra]bool{}
	for part := range strings.SplitSeq(extras, ";") {
		name, value, _ := strings.Cut(part, ":")
		extra := platform.Extra(name)
		if seen[extra] {
			return false
		}
		seen[extra] = true
		if decode := extraDecoders[extra]; decode != nil && !decode(value, into) {
			return false
		}
	}
	return seen[platform.ExtraCores] && seen[platform.ExtraMemory] && seen[platform.ExtraService]
}

// decodeTimeout decodes how long the owner waits for the answer. A hand-over gets no answer and may omit it.
func (c *Core) decodeTimeout(m *platform.Message, into *decodedRequest) bool {
	text, given := m.Text(platform.FieldTimeout)
	if !given && into.isHandOver() {
		return true
	}
	millis, ok := parseNumber(text)
	if !ok || millis < 1 || millis > float64(maxRequestTimeout/time.Millisecond) {
		return false
	}
	into.task.Timeout = millisDuration(millis)
	return true
}

// decodeLifetime decodes how long the task is expected to go on running. A missing or unusable value is ignored.
func (c *Core) decodeLifetime(m *platform.Message, into *decodedRequest) bool {
	text, _ := m.Text(platform.FieldLifetime)
	if millis, ok := parseNumber(text); ok && millis <= maxLifetimeMillis {
		into.task.RemainingLifetime = millisDuration(millis)
	}
	return true
}

// requestDigest returns a hash of the content of a request without its timeout, so that a resubmission has the same
// digest.
func requestDigest(m *platform.Message) uint64 {
	digest := fnv.New64a()
	digest.Write(m.Description)
	for _, name := range []platform.FieldName{
		platform.FieldClass, platform.FieldTenant, platform.FieldTaskKey, platform.FieldIdempotencyKey, platform.FieldExtras,
	} {
		digest.Write([]byte{0})
		digest.Write(m.Fields[name])
	}
	return digest.Sum64()
}

// parseHex parses a number of at most 16 hex digits.
func parseHex(text string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(text, 16, 64)
	return number, err == nil && len(text) <= 16
}

// parseNumber parses a number from 0 to math.MaxFloat32.
func parseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && number >= 0 && number <= math.MaxFloat32
}

func millisDuration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
