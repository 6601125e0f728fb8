// Package platform implements the wire formats of the users' platform: the messages between owners, placers and hosts
// as JSON lines, the watch of the endpoint list as server-sent events, and the configuration that a placer is started
// with. The package is pure: it does no I/O. No type is safe for concurrent use.
//
// This is the only package of the protocol layer that translates between the platform's terms and those of this
// program. In the tables below, "word" is the term on the wire and "name" is the identifier in this package, whose doc
// comment defines it.
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
//	number, ref             hex digits  Message.Ref
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
