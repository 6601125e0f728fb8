// Package platformconfig reads the settings object that a placer of the platform is started with, in the simulator's first
// message as in the configuration of a real placer, and translates it for the module. Times are in milliseconds there.
package platformconfig

import (
	"encoding/json"
	"fmt"
)

// Info is the settings text of a Boot. Times are in milliseconds.
type Info struct {
	Zone      int      `json:"az"`
	Zones     []string `json:"dcs"`
	Balancers int      `json:"balancers"`
	Me        int      `json:"me"`
	Caps      struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       float64 `json:"connIdle"`
		ConnectTimeout float64 `json:"connectTimeout"`
		MaxAttempts    int     `json:"maxAttempts"`
		MaxRetryAfter  float64 `json:"maxRetryAfter"`
		ParallelTries  bool    `json:"parallelTries"`
		Peers          bool    `json:"peers"`
		Probing        bool    `json:"probing"`
	} `json:"caps"`
	Classes []struct {
		Aim        float64 `json:"aim"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"lateWorth"`
		MemorySpan float64 `json:"memorySpan"`
		Name       string  `json:"name"`
		Points     float64 `json:"points"`
	} `json:"classes"`
	Deductions struct {
		CrossZone float64 `json:"crossZone"`
		Discovery float64 `json:"discovery"`
		Fleet     float64 `json:"fleet"`
		Moves     float64 `json:"moves"`
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"deductions"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		AcceptsCores     float64   `json:"acceptsCores"`
		ClassFade        []float64 `json:"classFade"`
		ClassMost        []int     `json:"classMost"`
		ClassPriority    []int     `json:"classPriority"`
		ClassSpread      []string  `json:"classSpread"`
		ColdSends        float64   `json:"coldSends"`
		Displaces        bool      `json:"displaces"`
		EasyUntil        []float64 `json:"easyUntil"`
		EvictCounts      float64   `json:"evictCounts"`
		KindByClass      []int     `json:"kindByClass"`
		KindCores        []float64 `json:"kindCores"`
		ListsFree        bool      `json:"listsFree"`
		MeanMemory       float64   `json:"meanMemory"`
		MemBooking       float64   `json:"memBooking"`
		MemoryByKind     []float64 `json:"memoryByKind"`
		OwnerWait        float64   `json:"ownerWait"`
		PressureNotes    bool      `json:"pressureNotes"`
		PromptStartS     []float64 `json:"promptStartS"`
		RefusalFee       float64   `json:"refusalFee"`
		ReportCounts     string    `json:"reportCounts"`
		SaysUse          bool      `json:"saysUse"`
		SaysYes          string    `json:"saysYes"`
		Sticks           bool      `json:"sticks"`
		TenantQuotaCores []float64 `json:"tenantQuotaCores"`
		UnitCores        float64   `json:"unitCores"`
	} `json:"familyInfo"`
	Kinds    []string `json:"kinds"`
	LoadInfo struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"loadInfo"`
	OverShareWorth float64 `json:"overShareWorth"`
	Rules          struct {
		AnswerSlack       float64 `json:"answerSlack"`
		Cold              float64 `json:"cold"`
		ColdFrom          float64 `json:"coldFrom"`
		Fall              float64 `json:"fall"`
		FallMultiple      float64 `json:"fallMultiple"`
		MustAskIn         float64 `json:"mustAskIn"`
		StopSendingWithin float64 `json:"stopSendingWithin"`
	} `json:"rules"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
	} `json:"tenants"`
}

// Parse reads a settings text; keys that it does not know are passed over.
func Parse(text []byte) (*Info, error) {
	var in Info
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &in, nil
}
