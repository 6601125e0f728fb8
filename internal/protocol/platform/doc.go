// Package platform is the users' platform as it is on the wire: the messages between owners, placers and hosts as JSON
// lines, the watch of the endpoint list as server-sent events, and the configuration that a placer is started with. All of
// it is pure; no type is safe for use by several goroutines at once.
//
// The platform's wording is translated here and nowhere else in the protocol. Words are those of the wire, names are
// those of this package, and the doc comments of the names define them.
//
//	part of a message       word        name
//	----------------------  ----------  ------------------------
//	type, t                 new         TypeRequest
//	                        wait        TypeProgress
//	                        up          TypeBound
//	                        down        TypeRelease
//	                        ack         TypeAck
//	                        hb          TypeProbe
//	                        hb_ok       TypeProbeResult
//	                        tell        TypeNote
//	                        shift       TypeMigrate
//	number, ref             16 digits   Message.Ref
//	cause, c                16          CauseOK
//	                        31          CauseMigrated
//	                        34          CauseRejected
//	                        41          CauseReset
//	                        42          CauseBusy
//	                        47          CauseFailed
//	                        102         CauseNotSent
//	                        0, 1        CauseUnhealthy, CauseHealthy
//	description, d          text        Message.Description
//	field, f                class       FieldClass
//	                        left        FieldTimeout
//	                        tenant      FieldTenant
//	                        key         FieldTaskKey
//	                        idem        FieldIdempotencyKey
//	                        extras      FieldExtras
//	                        hint        FieldLifetime
//	                        wait        FieldRetryAfter
//	                        note        FieldNote
//	                        value       FieldValue
//	                        load        FieldLoad
//	extras                  cores       ExtraCores
//	                        memory      ExtraMemory
//	                        service     ExtraService
//	                        again       ExtraResubmitted
//	                        at          ExtraHost
//	note of a TypeNote      running     NoteRunning
//	                        use_cpu     NoteCoresUsed
//	                        use_ram     NoteMemoryUsed
//	                        health      NoteServiceLevel
//	                        ram_high    NoteMemoryPressure
//	note of a TypeRelease   lack_cpu    ReasonInsufficientCores
//	                        lack_ram    ReasonInsufficientMemory
//	                        backlog     ReasonQueueFull
//	                        unfit       ReasonUnsuitable
//	                        killed      ReasonEvicted
//	                        displaced   ReasonPreempted
//	                        dismissed   ReasonDismissed
//	load                    x0          LoadAvailableCores
//	                        x1          LoadAvailableMemory
//	                        queue       LoadQueue
//	                        util        LoadUtilization
//
//	part of the watch       word        name
//	----------------------  ----------  ------------------------
//	event                   seq         WatchEvent.Seq
//	                        fleet       WatchEvent.Endpoints
//	fleet                   whole       EndpointList.Snapshot
//	                        hosts       EndpointList.Hosts
//	host                    host        Endpoint.Name
//	                        dial        Endpoint.Address
//	                        site        Endpoint.Zone
//	                        class       Endpoint.MachineType
//	                        block       Endpoint.Cell
//	                        health      Endpoint.State
//	                        born_ms     Endpoint.StartedAtMS
//	                        free        Endpoint.Available
//	health                  in_service  InService
//	                        terminating Terminating
//	                        terminated  Terminated
//
//	configuration           word        name
//	----------------------  ----------  ------------------------
//	                        changelog   Config.WatchAddress
//	                        peers_all   Config.PeersBroadcast
//	                        known       Config.Initial
//	known                   results     InitialList.Events
package platform
