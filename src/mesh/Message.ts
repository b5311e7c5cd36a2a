import { z } from 'zod';
import TableKind from '../table/TableKind';

const Ask = z.object({
  id: z.string(),
  adapter: z.string(),
  version: z.string(),
  team: z.string(),
  class: z.enum(['interactive', 'deferrable']),
  priority: z.number(),
  weight: z.number(),
  tokens: z.number(),
  /** Longest wait for a start, counted from the arrival of the message. */
  startWithinMs: z.number(),
  /** Conversation whose prefix an engine may hold. */
  session: z.string().optional(),
  /** Engine that has just failed this request and is not to be tried again. */
  avoid: z.string().optional(),
});

const EngineResidency = z.object({
  engine: z.string(),
  names: z.array(z.string()),
  running: z.number(),
});

const WireRow = z.object({
  kind: z.enum(TableKind),
  name: z.string(),
  revision: z.number(),
  edit: z.string(),
  value: z.unknown(),
});

const Change = z.object({
  key: z.string(),
  revision: z.number(),
  value: z.string().optional(),
});

/** What the owner of an engine tells of it; see `EngineState`. */
const State = z.object({
  engine: z.string(),
  startedAt: z.number(),
  fence: z.number(),
  sequence: z.number(),
  canLoad: z.boolean(),
  isReachable: z.boolean(),
  queued: z.number(),
  models: z.array(z.object({ name: z.string(), version: z.number() })),
  adapters: z.array(
    z.object({
      key: z.string(),
      version: z.number(),
      state: z.enum(['loading', 'resident', 'leaving']),
    }),
  ),
});

/** Everything that one entry VM says to another. Times are durations: clocks are not compared. */
const Message = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('heartbeat'),
    state: z.enum(['live', 'leaving']),
    /** What seldom changes; left out of most heartbeats to a VM that has it. */
    about: z
      .object({
        incarnation: z.string(),
        dataCentre: z.string(),
        /** `ip:port` at which callers reach the sender. */
        callerAddress: z.string(),
        /** Addresses heard within the time after which word of a silent VM is not passed on. */
        heard: z.array(z.string()),
      })
      .optional(),
    /** Edits up to here are all applied. */
    tableRevision: z.number(),
    /** Revision of the newest row held, which may be ahead of `tableRevision`. */
    newestRow: z.number(),
    /** Age of the last proof that the table is the platform's; undefined without one. */
    confirmedAgeMs: z.number().optional(),
    inFlight: z.number(),
    /** Whether the sender hears the receiver. */
    hearsYou: z.boolean().optional(),
  }),
  z.object({ kind: z.literal('rowsWanted'), since: z.number() }),
  z.object({
    kind: z.literal('rows'),
    rows: z.array(WireRow),
    /** Set on the last part of an answer to `rowsWanted`: what the sender has confirmed. */
    upTo: z.number().optional(),
  }),
  z.object({ kind: z.literal('ask'), pool: z.string(), ask: Ask }),
  z.object({
    kind: z.literal('granted'),
    id: z.string(),
    pool: z.string(),
    fence: z.number(),
    engine: z.string(),
    name: z.string(),
  }),
  z.object({
    kind: z.literal('refused'),
    id: z.string(),
    reason: z.enum([
      'notOwner',
      'noCapacity',
      'deadline',
      'queueFull',
      'loadFailed',
      'rateLimited',
      'inFlightLimited',
    ]),
    retryAfterMs: z.number(),
  }),
  z.object({ kind: z.literal('finished'), id: z.string(), pool: z.string() }),
  z.object({ kind: z.literal('missing'), pool: z.string(), engine: z.string(), name: z.string() }),
  z.object({
    kind: z.literal('withdraw'),
    pool: z.string(),
    fence: z.number(),
    sequence: z.number(),
    engine: z.string(),
    name: z.string(),
  }),
  z.object({
    kind: z.literal('withdrawn'),
    pool: z.string(),
    engine: z.string(),
    name: z.string(),
    busy: z.boolean(),
  }),
  z.object({
    kind: z.literal('residency'),
    pool: z.string(),
    fence: z.number(),
    /** Rises with every residency or withdrawal of one fence; an older message is dropped. */
    sequence: z.number(),
    /** Whether all engines of the pool are named, or just those that have changed. */
    isWhole: z.boolean(),
    engines: z.array(EngineResidency),
  }),
  /** Carries a message between two VMs that can't reach each other but both reach the receiver. */
  z.object({
    kind: z.literal('relay'),
    from: z.string(),
    to: z.string(),
    message: z.unknown(),
  }),
  /** The grants that the sender still uses; the owner drops others of its after a while. */
  z.object({ kind: z.literal('holding'), pool: z.string(), ids: z.array(z.string()) }),
  /** The receiver is now recorded as owner of a pool. */
  z.object({ kind: z.literal('handover'), pool: z.string() }),
  /** Changes of the key-value service, from a VM that reads it. */
  z.object({
    kind: z.literal('news'),
    fromRevision: z.number(),
    revision: z.number(),
    ageMs: z.number(),
    changes: z.array(Change),
  }),
  /** Asks for all that the receiver holds of the key-value service. */
  z.object({ kind: z.literal('newsWanted') }),
  z.object({ kind: z.literal('engineState'), ...State.shape }),
  /** The sender has become the owner of an engine; whoever gives it orders under a lower fence stops. */
  z.object({ kind: z.literal('engineClaimed'), engine: z.string(), fence: z.number() }),
  /** Asks the owner of an engine to load an adapter there. */
  z.object({
    kind: z.literal('loadWanted'),
    engine: z.string(),
    model: z.string(),
    adapter: z.string(),
    version: z.number(),
    urgency: z.number(),
    waitMs: z.number(),
  }),
  z.object({ kind: z.literal('loadRefused'), engine: z.string(), key: z.string() }),
  /** An engine did not hold what its owner had announced. */
  z.object({ kind: z.literal('engineDoubted'), engine: z.string() }),
  /** Asks the owner of an engine for a request's turn to have its prompt read. */
  z.object({
    kind: z.literal('turnWanted'),
    engine: z.string(),
    id: z.string(),
    tokens: z.number(),
    urgency: z.number(),
    onTimeMs: z.number(),
    pauseMs: z.number(),
    waitMs: z.number(),
  }),
  z.object({
    kind: z.literal('turn'),
    id: z.string(),
    state: z.enum(['granted', 'queued', 'refused']),
  }),
  z.object({ kind: z.literal('turnOver'), engine: z.string(), id: z.string() }),
  /** The requests in progress of the sender, or of a whole data centre, and news of engines. */
  z.object({
    kind: z.literal('usage'),
    /** Set where the figures are the sum of a data centre. */
    dataCentre: z.string().optional(),
    loads: z.array(z.tuple([z.string(), z.number()])),
    engines: z.array(
      z.object({
        engine: z.string(),
        /** Milliseconds of prompts that wait there. */
        backlogMs: z.number(),
        /** Adapters in use and their requests in progress. */
        busy: z.array(z.tuple([z.string(), z.number()])),
      }),
    ),
    states: z.array(State),
  }),
  /** The sender's requests at one engine, for its owner: adapter, in progress, idle milliseconds. */
  z.object({
    kind: z.literal('share'),
    upstream: z.string(),
    share: z.array(z.tuple([z.string(), z.number(), z.number()])),
  }),
  /** To be taken by the receiver and passed on to the VMs of its data centre. */
  z.object({ kind: z.literal('forward'), message: z.unknown() }),
  z.object({ kind: z.literal('callInquiry'), key: z.string(), nonce: z.string() }),
  z.object({
    kind: z.literal('callStatus'),
    key: z.string(),
    nonce: z.string(),
    status: z.enum(['neverSent', 'maybeSent']),
  }),
]);
type Message = z.infer<typeof Message>;

export default Message;
