import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.54, 1, 2.5, 5, 10, 30,
];
const FILL_BUCKETS = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];

/** Creates the product's metrics in a registry of their own. */
export default function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const counter = <Label extends string>(name: string, help: string, labelNames: Label[]) =>
    new Counter({ name: `baobablink_${name}`, help, labelNames, registers });
  const gauge = <Label extends string>(name: string, help: string, labelNames: Label[]) =>
    new Gauge({ name: `baobablink_${name}`, help, labelNames, registers });
  const histogram = (name: string, help: string, buckets: number[]) =>
    new Histogram({ name: `baobablink_${name}`, help, buckets, registers });

  return {
    registry,
    requests: counter('requests_total', 'Requests taken, by kind.', ['kind']),
    answers: counter('answers_total', 'Requests answered whole, by kind.', ['kind']),
    refusals: counter('refusals_total', 'Refusals, by reason.', ['reason']),
    retries: counter('retries_total', 'Retries, by reason.', ['reason']),
    droppedChunks: counter('dropped_chunks_total', 'Chunks not passed on, by reason.', ['reason']),
    linkEnds: counter('link_ends_total', 'Ended links to entry VMs, by reason.', ['reason']),
    meshBytes: counter('mesh_sent_bytes_total', 'Bytes sent to entry VMs.', ['kind']),
    keyValueCalls: counter('key_value_calls_total', 'Calls to the key-value service.', ['call']),
    loads: counter('loads_total', 'Loads ordered, by outcome.', ['outcome']),
    evictions: counter('evictions_total', 'Evictions ordered, by outcome.', ['outcome']),
    stall: histogram(
      'stall_seconds',
      'Wait of a request for its place on an engine.',
      LATENCY_BUCKETS_SECONDS,
    ),
    firstToken: histogram(
      'first_token_seconds',
      'Time from a request to its first token.',
      LATENCY_BUCKETS_SECONDS,
    ),
    batchFill: histogram('batch_fill', 'Share of the batch in use at a grant.', FILL_BUCKETS),
    residents: gauge('resident_adapters', 'Adapters resident, by engine.', ['engine']),
    pins: gauge('pins', 'Granted requests of owned pools.', ['pool']),
    queue: gauge('queue', 'Requests waiting in owned pools.', ['pool']),
    loadsInFlight: gauge('loads_in_flight', 'Loads in flight for owned pools.', ['pool']),
    tableRevision: gauge('table_revision', 'Revision of the table in force here.', []),
    droppedLines: counter('log_lines_dropped_total', 'Log lines left out.', []),
    connections: counter('upstream_connections_total', 'Connections opened to upstreams.', []),
    membersHeard: gauge('members_heard', 'Entry VMs heard now.', []),
    inFlight: gauge('requests_in_flight', 'Requests in progress on this VM.', []),
  };
}
