// Package platformconfig parses the settings object that the platform starts a placer with, and converts it to settings of the
// module. The object is the same in the simulator's first message and in the configuration of a real placer.
package platformconfig

import (
	"encoding/json"
	"fmt"
)

// Info is the settings object of the platform. The tags are the platform's keys, and the fields have the names that the
// module uses for the same settings. Times are in milliseconds. Cores and memory are in the same units as in the
// module's settings. The name of the type appears in errors of encoding/json, so it must not change.
type Info struct {
	Zone    int      `json:"az"`
	Zones   []string `json:"dcs"`
	Placers int      `json:"balancers"`
	Self    int      `json:"me"`
	Caps    struct {
		MayWithdraw           bool    `json:"cancel"`
		ConnectionIdleTimeout float64 `json:"connIdle"`
		ConnectTimeout        float64 `json:"connectTimeout"`
		MaxAttempts           int     `json:"maxAttempts"`
		MaxRetryAfter         float64 `json:"maxRetryAfter"`
		ParallelAttempts      bool    `json:"parallelTries"`
		MayGossip             bool    `json:"peers"`
		MayProbe              bool    `json:"probing"`
	} `json:"caps"`
	Classes []struct {
		LatencyObjective float64 `json:"aim"`
		Effect           string  `json:"effect"`
		DedupDomain      string  `json:"group"`
		LateWeight       float64 `json:"lateWorth"`
		DedupWindow      float64 `json:"memorySpan"`
		Name             string  `json:"name"`
		Weight           float64 `json:"points"`
	} `json:"classes"`
	Costs struct {
		RemoteZone     float64 `json:"crossZone"`
		ListEntries    float64 `json:"discovery"`
		SurplusMachine float64 `json:"fleet"`
		Migration      float64 `json:"moves"`
		Gossip         float64 `json:"peer"`
		Probe          float64 `json:"probe"`
		WastedWork     float64 `json:"waste"`
	} `json:"deductions"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		CoresOvercommit      float64   `json:"acceptsCores"`
		DegradationRange     []float64 `json:"classFade"`
		MaxPerDomain         []int     `json:"classMost"`
		Priority             []int     `json:"classPriority"`
		SpreadDomain         []string  `json:"classSpread"`
		SlowStartMaxOffers   float64   `json:"coldSends"`
		Preemption           bool      `json:"displaces"`
		SaturationThreshold  []float64 `json:"easyUntil"`
		EvictionMigrations   float64   `json:"evictCounts"`
		MachineTypeByClass   []int     `json:"kindByClass"`
		MachineCores         []float64 `json:"kindCores"`
		ListReportsAvailable bool      `json:"listsFree"`
		MeanMemory           float64   `json:"meanMemory"`
		MemoryOvercommit     float64   `json:"memBooking"`
		MachineMemory        []float64 `json:"memoryByKind"`
		OwnerBackoff         float64   `json:"ownerWait"`
		NotesReportPressure  bool      `json:"pressureNotes"`
		StartWeight          []float64 `json:"promptStartS"`
		RejectionCost        float64   `json:"refusalFee"`
		ReportCounts         string    `json:"reportCounts"`
		NotesReportUsage     bool      `json:"saysUse"`
		BoundWhen            string    `json:"saysYes"`
		ServiceAffinity      bool      `json:"sticks"`
		TenantQuotaCores     []float64 `json:"tenantQuotaCores"`
		MeanCores            float64   `json:"unitCores"`
	} `json:"familyInfo"`
	MachineTypeNames []string `json:"kinds"`
	LoadInfo         struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"loadInfo"`
	OverQuotaWeight float64 `json:"overShareWorth"`
	Rules           struct {
		AnswerSlack          float64 `json:"answerSlack"`
		SlowStartDuration    float64 `json:"cold"`
		SlowStartInitialRate float64 `json:"coldFrom"`
		SlowStartWindow      float64 `json:"fall"`
		SlowStartOverload    float64 `json:"fallMultiple"`
		MaxPollInterval      float64 `json:"mustAskIn"`
		DrainGrace           float64 `json:"stopSendingWithin"`
	} `json:"rules"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"share"`
	} `json:"tenants"`
}

// Parse parses a settings text. Unknown keys are ignored. Parse does not check the values; the function Check does.
func Parse(text []byte) (*Info, error) {
	var in Info
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &in, nil
}
