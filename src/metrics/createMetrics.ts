import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.54, 1, 2.5, 5, 10, 30,
];
const BATCH_FILL_BUCKETS = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];

/** Creates the metrics of an entry VM in a registry of their own. */
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
    requests: counter('requests_total', 'Requests received, by kind.', ['kind']),
    answers: counter('answers_total', 'Requests answered completely, by kind.', ['kind']),
    organisationRequests: counter(
      'organisation_requests_total',
      'Requests that needed or had a key, by organisation and outcome.',
      ['organisation', 'outcome'],
    ),
    refusals: counter('refusals_total', 'Refusals, by reason.', ['reason']),
    retries: counter('retries_total', 'Retries, by reason.', ['reason']),
    droppedChunks: counter('dropped_chunks_total', 'Chunks dropped, by reason.', ['reason']),
    linkEnds: counter('link_ends_total', 'Ended links to other entry VMs, by reason.', ['reason']),
    unreadableMessages: counter(
      'mesh_unreadable_kinds_total',
      'Kinds of messages of other builds that this one does not understand, by kind.',
      ['kind'],
    ),
    meshBytes: counter(
      'mesh_sent_bytes_total',
      'Bytes sent to other entry VMs, by kind of message.',
      ['kind'],
    ),
    meshQueuedBytes: gauge(
      'mesh_queued_bytes',
      'Bytes that wait to be sent to other entry VMs.',
      [],
    ),
    loopDelay: histogram(
      'loop_delay_seconds',
      'Delays of the event loop of 0.3 s or more.',
      LATENCY_BUCKETS_SECONDS,
    ),
    keyValueCalls: counter('key_value_calls_total', 'Calls to the key-value service, by kind.', [
      'call',
    ]),
    loads: counter('loads_total', 'Loads of adapters, by outcome.', ['outcome']),
    evictions: counter('evictions_total', 'Evictions of adapters, by outcome.', ['outcome']),
    stall: histogram(
      'stall_seconds',
      'Time from a request to its placement on an engine.',
      LATENCY_BUCKETS_SECONDS,
    ),
    firstToken: histogram(
      'first_token_seconds',
      'Time from a request to its first token.',
      LATENCY_BUCKETS_SECONDS,
    ),
    batchFill: histogram(
      'batch_fill',
      'Fraction of the batch in use at a grant.',
      BATCH_FILL_BUCKETS,
    ),
    residents: gauge('resident_adapters', 'Resident adapters, by engine.', ['engine']),
    pins: gauge('pins', 'Granted requests, by owned pool.', ['pool']),
    queue: gauge('queue', 'Waiting requests, by owned pool.', ['pool']),
    loadsInFlight: gauge('loads_in_flight', 'Loads in flight, by owned pool.', ['pool']),
    tableRevision: gauge(
      'table_revision',
      'Revision of the table or manifest in force on this VM.',
      [],
    ),
    droppedLines: counter('log_lines_dropped_total', 'Log lines dropped.', []),
    connections: counter('upstream_connections_total', 'Connections opened to upstreams.', []),
    membersHeard: gauge('members_heard', 'Live entry VMs with a recent heartbeat.', []),
    blocks: gauge('blocks', 'Traits of requests that are refused since they crash upstreams.', []),
    permits: counter('upstream_permits_total', 'Permits wanted for limited upstreams.', [
      'outcome',
    ]),
    allowances: counter('allowance_requests_total', 'Requests under an allowance, by outcome.', [
      'outcome',
    ]),
    isAllowanceHolder: gauge(
      'allowance_holder',
      'Whether this VM holds the accounts of all allowances.',
      [],
    ),
    slots: counter(
      'upstream_slots_total',
      'Slots wanted at services with few slots for many VMs, by outcome.',
      ['outcome'],
    ),
    readinessNotices: counter(
      'upstream_readiness_notices_total',
      'Responses in which upstreams wanted no more requests, by what they stated.',
      ['kind'],
    ),
    forwards: counter('forwarded_requests_total', 'Requests that other VMs carried, by outcome.', [
      'outcome',
    ]),
    isPartitioned: gauge('partitioned', 'Whether this VM reaches no upstream.', []),
    limitedUpstreams: gauge(
      'limited_upstreams',
      'Upstreams that state a limit for requests of all VMs.',
      [],
    ),
    clientLimits: counter(
      'client_limits_total',
      'Clients outside the limits that were refused or disconnected, by reason.',
      ['reason'],
    ),
    heldBytes: gauge('held_bytes', 'Bytes of bodies and unread responses held for clients.', []),
    pacedUpstreams: gauge(
      'paced_upstreams',
      'Upstreams that have just started or recovered and get requests at a pace.',
      [],
    ),
    paceFalls: counter('upstream_pace_falls_total', 'Falls of the pace of upstreams, by reason.', [
      'reason',
    ]),
    inFlight: gauge('requests_in_flight', 'In-flight requests on this VM.', []),
  };
}
