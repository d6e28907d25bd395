package main

import "github.com/bramleytrail/bramleytrail/platform"

// Services of the configuration, with the replicas and slots of the sheet.
const (
	modelService, modelReplicas, modelSlots = "ripen-llm", 18, 128
	plainService, plainReplicas, plainSlots = "room-ops", 3, 6
)

// config is the operator's configuration: a resumable stream of a model service, and safe and unsafe requests of a plain one.
const config = `{"version":7,"routes":[
{"name":"r-stream","host":"ficu95.example","path-prefix":"/lohu930/","kind":"streaming","timeout-ms":25000,"target-latency-ms":3000,"priority":1,"service":"ripen-llm","attempts":3,"public-access":false,"session-affinity":true,"stream-resumption":true,"gap-target-ms":1200},
{"name":"r-safe","host":"ficu95.example","path-prefix":"/cufi504/","kind":"idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"room-ops","attempts":2,"public-access":false},
{"name":"r-unsafe","host":"ficu95.example","path-prefix":"/puxa403/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"room-ops","attempts":1,"public-access":false}],
"services":[{"name":"ripen-llm","health-check-path":"/health","connection-limit":620,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":128,"kv-cache-tokens":468045,"stride":6,"models":[{"name":"daka510000","cost":0.019}]}},
{"name":"room-ops","health-check-path":"/health","connection-limit":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["` + apiKey + `"],"priority":1}]}`

// publish writes the configuration.
func (s *stage) publish() { s.store.Put(platform.ConfigKey, []byte(config)) }
