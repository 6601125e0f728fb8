// Package simadapter reads batches of events and writes replies in the simulator's binary frames. It contains no placement
// logic. All numbers are little endian; times and durations are float64 milliseconds, cores are float32, and memory is
// float32 GiB.
//
// The simulator has its own names for events, actions and fields. These tables give the code of each record on the wire,
// the simulator's name, and the name in this package:
//
//	code  event             name
//	----  ----------------  ----------------
//	1     existing          HandOver
//	2     bound             Bound
//	3     client left       RequestCanceled
//	4     answer            Outcome
//	5     status back       Probed
//	6     ask               PlacementRequest
//	7     boot              Start
//	8     teardown          Teardown
//	9     fired             TimerFired
//	10    page              EndpointList
//	11    status note       Note
//	12    peer              Received
//	13    directory update  ListUpdate
//
//	code  action            name
//	----  ----------------  ----------------
//	1     put               Reply.Offer
//	2     not now           Reply.Reject
//	3     give up           Reply.Fail
//	4     drop attempt      Reply.Withdraw
//	5     sleep             Reply.SetTimer
//	6     poll              Reply.Probe
//	8     tell              Reply.Gossip
//	9     log               Reply.Log
//	10    crash             Reply.Crash
//	11    watch             Reply.Subscribe
//	13    unseat            Reply.Stop
//
//	field             name                               field      name
//	----------------  ---------------------------------  ---------  -----------------
//	roster            EndpointList.Number                how        Mode, Result
//	launched          Machine.StartedAt                  leg        Attempt
//	readiness, model  Machine.State, Type                remark     Outcome.Reason
//	pod               Machine.Cell                       terminal   Outcome.Final
//	owner, uid        PlacementRequest.Tenant, Key       telemetry  Report
//	budget, runs for  PlacementRequest.Timeout,          label      TimerFired.Timer
//	                  RemainingLifetime                  origin     Received.From
//	group             PlacementRequest.Service           blob       Received.Data
package simadapter
