import { z } from 'zod';
import TableKind from '../table/TableKind';

const PoolRequest = z.object({
  id: z.string(),
  adapter: z.string(),
  version: z.string(),
  team: z.string(),
  class: z.enum(['interactive', 'deferrable']),
  priority: z.number(),
  weight: z.number(),
  tokens: z.number(),
  /** Longest wait for the request to start, counted from the arrival of the message. */
  startWithinMs: z.number(),
  /** Conversation whose prefix may be in an engine's prefix cache. */
  session: z.string().optional(),
  /** Engine that has just failed this request and must not be used again for it. */
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

/** State of an engine as announced by its owner; see `src/engines/EngineState.ts`. */
const EngineState = z.object({
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

/** Statement of an upstream's limit; its ages bound the moment at which the upstream made it. */
const UpstreamLimit = z.object({
  upstream: z.string(),
  startedAt: z.number(),
  source: z.string(),
  sequence: z.number(),
  /** Requests a second; undefined if the upstream states no limit. */
  perSecond: z.number().optional(),
  oldestAgeMs: z.number(),
  newestAgeMs: z.number(),
});

/** What a VM states to the issuer of a service's slots with each message. */
const SlotUse = z.object({
  /** Grants of the receiver that the sender holds, after those that `ended`; none if undefined. */
  held: z.number().optional(),
  /** Requests in progress that the receiver has not granted, by upstream. */
  others: z.array(z.tuple([z.string(), z.number()])).optional(),
  /** Ends of uses: the number of the request, how it ended, and how long it took. */
  ended: z
    .array(
      z.tuple([
        z.number(),
        z.enum(['done', 'failed', 'unsent', 'unreachable', 'full', 'lost', 'aborted']),
        z.number(),
      ]),
    )
    .optional(),
});

/**
 * A message between two entry VMs. Times are durations, since the VMs' clocks are not compared.
 * Exception: `startedAt` identifies a run of an engine.
 */
const Message = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('heartbeat'),
    state: z.enum(['live', 'leaving']),
    /** Fields that rarely change; omitted from most heartbeats to a VM that has received them. */
    about: z
      .object({
        incarnation: z.string(),
        dataCentre: z.string(),
        /** `ip:port` at which callers connect to the sender. */
        callerAddress: z.string(),
        /** Bandwidth of the sender's network link, if known. */
        linkMbps: z.number().optional(),
        /** Addresses of the VMs from which the sender has received a heartbeat recently. */
        heard: z.array(z.string()),
      })
      .optional(),
    /** All edits up to this revision are applied. */
    tableRevision: z.number(),
    /** Revision of the newest row held, which may be ahead of `tableRevision`. */
    newestRow: z.number(),
    /**
     * Milliseconds since the key-value service last confirmed the sender's table or mirror;
     * undefined if there is no confirmation, or no recent one.
     */
    confirmedAgeMs: z.number().optional(),
    inFlight: z.number(),
    /** Set if the key-value service does not answer the sender. */
    isServiceLost: z.boolean().optional(),
    /** Whether the sender has received a heartbeat from the receiver recently. */
    hearsYou: z.boolean().optional(),
  }),
  /** Requests the table rows after revision `since`. */
  z.object({ kind: z.literal('rowsWanted'), since: z.number() }),
  z.object({
    kind: z.literal('rows'),
    rows: z.array(WireRow),
    /** Set on the last part of a reply to `rowsWanted`: revision that the sender has confirmed. */
    upTo: z.number().optional(),
  }),
  /** Requests a grant from the owner of a pool; the reply is `granted` or `refused`. */
  z.object({ kind: z.literal('ask'), pool: z.string(), ask: PoolRequest }),
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
  /** Ends a request at the owner of a pool, whether it was granted or still waits. */
  z.object({ kind: z.literal('finished'), id: z.string(), pool: z.string() }),
  /** Reports to the owner of a pool that an engine lacks an adapter that the owner granted. */
  z.object({ kind: z.literal('missing'), pool: z.string(), engine: z.string(), name: z.string() }),
  /** Requests that the receiver start no more requests on an adapter that is to be evicted. */
  z.object({
    kind: z.literal('withdraw'),
    pool: z.string(),
    fence: z.number(),
    sequence: z.number(),
    engine: z.string(),
    name: z.string(),
  }),
  /** Reply to `withdraw`. */
  z.object({
    kind: z.literal('withdrawn'),
    pool: z.string(),
    engine: z.string(),
    name: z.string(),
    /** Whether the sender still uses the adapter, or the fencing number was outdated. */
    busy: z.boolean(),
  }),
  z.object({
    kind: z.literal('residency'),
    pool: z.string(),
    fence: z.number(),
    /**
     * Increases with each `residency` or `withdraw` message under one fencing number; an older
     * message is dropped.
     */
    sequence: z.number(),
    /** Whether `engines` lists all engines of the pool, or only those that have changed. */
    isWhole: z.boolean(),
    engines: z.array(EngineResidency),
  }),
  /** Relays a message between two VMs whose link is broken, by way of the receiver. */
  z.object({
    kind: z.literal('relay'),
    from: z.string(),
    to: z.string(),
    message: z.unknown(),
  }),
  /** Lists the grants that the sender still uses; the owner later drops its other grants. */
  z.object({ kind: z.literal('holding'), pool: z.string(), ids: z.array(z.string()) }),
  /** Notifies the receiver that it is now recorded as the owner of a pool. */
  z.object({ kind: z.literal('handover'), pool: z.string() }),
  /** Carries a `ChangeBatch` of the key-value service, or a snapshot in reply to `newsWanted`. */
  z.object({
    kind: z.literal('news'),
    fromRevision: z.number(),
    revision: z.number(),
    ageMs: z.number(),
    changes: z.array(Change),
    isWhole: z.boolean().optional(),
  }),
  /**
   * Requests the changes after a revision from the receiver's mirror of the key-value service, or a
   * snapshot.
   */
  z.object({ kind: z.literal('newsWanted'), afterRevision: z.number().optional() }),
  z.object({ kind: z.literal('engineState'), ...EngineState.shape }),
  /**
   * Announces that the sender now owns an engine. A VM that owned it under a lower fencing number
   * sends it no more commands.
   */
  z.object({
    kind: z.literal('engineClaimed'),
    engine: z.string(),
    fence: z.number(),
    /** Address of the owner; earlier versions do not send it. */
    owner: z.string().optional(),
  }),
  /** Requests that the owner of an engine load an adapter on it. */
  z.object({
    kind: z.literal('loadWanted'),
    engine: z.string(),
    model: z.string(),
    adapter: z.string(),
    version: z.number(),
    urgency: z.number(),
    waitMs: z.number(),
  }),
  /** Refuses a load, so that the requester requests it from another engine. */
  z.object({ kind: z.literal('loadRefused'), engine: z.string(), key: z.string() }),
  /** Reports to an engine's owner that the engine lacks an adapter that the owner announced. */
  z.object({ kind: z.literal('engineDoubted'), engine: z.string() }),
  /** Requests permission from the owner of an engine to start the prefill of a request. */
  z.object({
    kind: z.literal('turnWanted'),
    engine: z.string(),
    id: z.string(),
    /** Adapter that the request uses, so that the owner does not unload it. */
    key: z.string().optional(),
    /** Name of the organisation; undefined if callers need no key. */
    organisation: z.string().optional(),
    tokens: z.number(),
    urgency: z.number(),
    onTimeMs: z.number(),
    pauseMs: z.number(),
    waitMs: z.number(),
  }),
  /** Reply to `turnWanted`; a request that was queued receives `granted` later. */
  z.object({
    kind: z.literal('turn'),
    id: z.string(),
    state: z.enum(['granted', 'queued', 'refused']),
  }),
  /** Reports to the owner of an engine that the prefill of a request has ended. */
  z.object({ kind: z.literal('turnOver'), engine: z.string(), id: z.string() }),
  /** Reports the in-flight requests of the sender or of a data centre, and states of engines. */
  z.object({
    kind: z.literal('usage'),
    /** Set if the counts are the sum over a data centre. */
    dataCentre: z.string().optional(),
    /** In-flight requests by upstream. */
    loads: z.array(z.tuple([z.string(), z.number()])),
    engines: z.array(
      z.object({
        engine: z.string(),
        /** Estimated prefill time of the prompts queued there, in milliseconds. */
        backlogMs: z.number(),
        /** Adapters in use, each with its number of in-flight requests. */
        busy: z.array(z.tuple([z.string(), z.number()])),
      }),
    ),
    states: z.array(EngineState),
    /** What was learned about upstreams that state a load; see `UpstreamReport`. */
    upstreams: z
      .array(
        z.tuple([
          z.string(),
          z.number(),
          z.number(),
          z.number(),
          z.number(),
          z.number(),
          z.number(),
          z.array(z.number()),
          z.number(),
        ]),
      )
      .optional(),
  }),
  /**
   * Reports the sender's use of one engine to its owner. Each item of `share` is an adapter, its
   * in-flight requests and its idle time in milliseconds.
   */
  z.object({
    kind: z.literal('share'),
    upstream: z.string(),
    share: z.array(z.tuple([z.string(), z.number(), z.number()])),
  }),
  /** Carries a message that the receiver handles and forwards to the VMs of its data centre. */
  z.object({ kind: z.literal('forward'), message: z.unknown() }),
  /**
   * Queries whether the VM that claimed a non-idempotent call may have sent it. That VM abandons
   * the call if it has not sent it yet.
   */
  z.object({ kind: z.literal('callInquiry'), key: z.string(), nonce: z.string() }),
  /** Reports that an upstream ended under requests of the sender; see `CrashReport`. */
  z.object({
    kind: z.literal('upstreamCrash'),
    upstream: z.string(),
    requests: z.array(
      z.object({ traits: z.array(z.string()), ageMs: z.number(), ranMs: z.number() }),
    ),
  }),
  /** Reports that a request was served whose trait is suspected to crash upstreams. */
  z.object({ kind: z.literal('requestServed'), trait: z.string() }),
  /** Carries blocks of traits of requests; see `src/quarantine/Block.ts`. */
  z.object({
    kind: z.literal('blocks'),
    blocks: z.array(z.object({ trait: z.string(), version: z.number(), isBlocked: z.boolean() })),
  }),
  /**
   * Carries where streams began; see `src/streams/StreamOrigin.ts`. Unless `isPublished` is set, the
   * receiver passes it on to all VMs.
   */
  z.object({
    kind: z.literal('streamOrigins'),
    origins: z.array(z.object({ request: z.string(), service: z.string(), version: z.string() })),
    isPublished: z.boolean(),
  }),
  /** Carries limits of upstreams; see `src/rateLimits/LimitStatement.ts`. */
  z.object({ kind: z.literal('upstreamLimits'), statements: z.array(UpstreamLimit) }),
  /** Announces that upstreams of a service end if they have to turn many requests away. */
  z.object({ kind: z.literal('serviceBrittle'), service: z.string() }),
  /** Requests a place at an upstream for at most `holdMs`; the reply is `place`. */
  z.object({
    kind: z.literal('placeWanted'),
    upstream: z.string(),
    id: z.number(),
    holdMs: z.number(),
  }),
  /** Reply to `placeWanted`. */
  z.object({
    kind: z.literal('place'),
    upstream: z.string(),
    id: z.number(),
    isGranted: z.boolean(),
  }),
  /** Gives a place back; `isTurnedAway`: the upstream had no room for the request. */
  z.object({
    kind: z.literal('placeEnded'),
    upstream: z.string(),
    id: z.number(),
    isTurnedAway: z.boolean(),
  }),
  /**
   * Requests a slot at one of a service's upstreams from the VM that issues them; the reply is `slot`.
   * See `src/slots/SlotRequest.ts`.
   */
  z.object({
    kind: z.literal('slotWanted'),
    service: z.string(),
    id: z.number(),
    urgency: z.number(),
    onTimeMs: z.number(),
    waitMs: z.number(),
    organisation: z.string().optional(),
    excluded: z.array(z.string()).optional(),
    ...SlotUse.shape,
  }),
  /**
   * Reply to `slotWanted`: the upstream, the expected wait in the queue, or the time to return of a
   * refused request. An empty upstream leaves the choice to the receiver. Without any of them, the sender
   * does not issue slots of the service. Without `id`, the reply concerns all requests of the receiver
   * that wait.
   */
  z.object({
    kind: z.literal('slot'),
    id: z.number().optional(),
    upstream: z.string().optional(),
    waitMs: z.number().optional(),
    retryAfterMs: z.number().optional(),
  }),
  /** Ends the use of slots, or the wait for them, at the VM that issued them. */
  z.object({ kind: z.literal('slotEnded'), service: z.string(), ...SlotUse.shape }),
  /** Announces whether the sender reaches no upstream; repeated while it does not. */
  z.object({ kind: z.literal('reach'), isPartitioned: z.boolean() }),
  /** Requests that the receiver opens a connection to an upstream; the reply is `probed`. */
  z.object({ kind: z.literal('probeWanted'), id: z.number(), upstream: z.string() }),
  /** Reply to `probeWanted`; see `src/upstream/ProbeOutcome.ts`. */
  z.object({
    kind: z.literal('probed'),
    id: z.number(),
    outcome: z.enum(['accepted', 'refused', 'silent']),
  }),
  /** Announces incarnations of upstreams that have stated in responses that they leave. */
  z.object({
    kind: z.literal('upstreamsLeaving'),
    upstreams: z.array(z.object({ id: z.string(), startedAt: z.number() })),
  }),
  /** Announces that an upstream has turned away a request of the sender for some time. */
  z.object({
    kind: z.literal('upstreamRested'),
    upstream: z.string(),
    startedAt: z.number(),
    endsInMs: z.number(),
  }),
  /**
   * Requests a permit for one request to an upstream that states a limit, from the VM that issues
   * them; the reply is `permit`.
   */
  z.object({ kind: z.literal('permitWanted'), id: z.number(), statement: UpstreamLimit }),
  /** Reply to `permitWanted`; see `src/rateLimits/PermitReply.ts`. */
  z.object({
    kind: z.literal('permit'),
    id: z.number(),
    isGranted: z.boolean(),
    waitMs: z.number(),
    intervalMs: z.number(),
  }),
  /**
   * Requests votes for the sender as the holder of all allowances; the reply is `allowanceVote`. `run`
   * differs between runs of a VM.
   */
  z.object({
    kind: z.literal('allowancePoll'),
    run: z.string(),
    round: z.number(),
    /** Whether the sender is the holder, and not only stands for it. */
    isElected: z.boolean(),
  }),
  /** Reply to `allowancePoll`; see `src/allowances/createHolderElection.ts`. */
  z.object({
    kind: z.literal('allowanceVote'),
    round: z.number(),
    /** VMs that the sender knows, itself included. */
    vmCount: z.number(),
    /** The sender votes for no other VM for this long. */
    forMs: z.number(),
    /** Whether the sender has run for longer than a vote lasts. */
    isSeasoned: z.boolean(),
  }),
  /** Requests amounts of an organisation's allowance; the reply is `allowanceLease`. */
  z.object({
    kind: z.literal('allowanceWanted'),
    organisation: z.string(),
    run: z.string(),
    id: z.number(),
    acknowledged: z.number(),
    limit: z.object({ version: z.number(), perSecond: z.number(), burst: z.number() }),
    amounts: z.array(z.number()),
    ahead: z.number(),
    unspent: z.number(),
    returned: z.number(),
    overdrawn: z.number(),
  }),
  /** Reply to `allowanceWanted`; see `src/allowances/LeaseReply.ts`. */
  z.object({
    kind: z.literal('allowanceLease'),
    organisation: z.string(),
    id: z.number(),
    isHolder: z.boolean(),
    amount: z.number(),
    grantedCount: z.number(),
    retryAfterMs: z.array(z.number()),
    level: z.number(),
    lent: z.number(),
    capacity: z.number(),
  }),
  z.object({
    kind: z.literal('callStatus'),
    key: z.string(),
    nonce: z.string(),
    /** `neverSent`: the call was not sent, and the sender of this message will not send it. */
    status: z.enum(['neverSent', 'maybeSent']),
  }),
]);
type Message = z.infer<typeof Message>;

export default Message;
