import type Log from '../events/Log';
import type ActiveRequest from '../gateway/ActiveRequest';
import type AttemptOutcome from '../gateway/AttemptOutcome';
import type CallerRequest from '../gateway/CallerRequest';
import type ResponseHead from '../gateway/ResponseHead';
import sendAttempt from '../gateway/sendAttempt';
import type Member from '../members/Member';
import type Clock from '../shared/Clock';
import type ResponseHandler from '../upstream/ResponseHandler';
import chooseCarrier from './chooseCarrier';

/** Codes of refusals that concern the carrier alone, so that another one may serve the request. */
const CARRIER_REFUSALS = new Set(['partitioned', 'notReady', 'unconfirmed']);

interface Controls {
  abort(): void;
  pause(): void;
  resume(): void;
}

interface ForwarderHost extends Clock {
  /** Returns whether this VM reaches no upstream. */
  isPartitioned(): boolean;
  isPeerPartitioned(now: number, vm: string): boolean;
  /** Returns the other VMs that accept requests. */
  getPeers(now: number): readonly Pick<Member, 'address' | 'dataCentre' | 'inFlight'>[];
  /** Sends a request to another VM; returns undefined if no connection is available. */
  forwardRequest(
    vm: string,
    request: CallerRequest,
    handler: ResponseHandler,
  ): Controls | undefined;
  /** Decodes the head of another VM's response to a request. */
  decodeForwardedHead(
    requestId: string,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): ResponseHead;
  countForward(outcome: string): void;
  /** Returns a number from 0 to 1. */
  random(): number;
  log: Log;
}

/**
 * Has requests carried by another VM while this one reaches no upstream. The other VM places and sends
 * a request like that of a caller; it carries none further.
 */
export default function createForwarder(host: ForwarderHost, options: { dataCentre: string }) {
  const inFlight = new Map<string, number>();

  /**
   * Returns the VM that is to carry a request; undefined if this VM serves it. A stream that began by
   * way of another VM goes on by way of one, which knows its software version.
   */
  function tryGetCarrier(
    request: ActiveRequest,
    excluded: ReadonlySet<string>,
  ): string | undefined {
    const isForwarded = request.callerRequest.forwarded !== undefined;
    if (isForwarded || !(host.isPartitioned() || request.isBegunElsewhere)) {
      return undefined;
    }
    const now = host.now();
    const carriers = host
      .getPeers(now)
      .filter(({ address }) => !excluded.has(address) && !host.isPeerPartitioned(now, address))
      .map((peer) => ({ ...peer, inFlight: peer.inFlight + (inFlight.get(peer.address) ?? 0) }));
    return chooseCarrier(carriers, options.dataCentre, host.random)?.address;
  }

  /** Sends a request to another VM and forwards its response; at most `attempts` upstreams run it. */
  async function forward(
    request: ActiveRequest,
    vm: string,
    attempts: number,
  ): Promise<AttemptOutcome> {
    const { callerRequest } = request;
    const count = (difference: number) => inFlight.set(vm, (inFlight.get(vm) ?? 0) + difference);
    host.log('requestForwarded', { request: callerRequest.id, to: vm });
    count(1);
    const outcome = await sendAttempt(
      {
        ...host,
        send: (deadlineMs, handler) =>
          host.forwardRequest(
            vm,
            {
              ...callerRequest,
              deadlineMs,
              resumeAfter:
                request.lastEventId === undefined
                  ? callerRequest.resumeAfter
                  : String(request.lastEventId),
              resumedRequest:
                callerRequest.resumedRequest ??
                (request.lastEventId === undefined ? undefined : callerRequest.id),
              forwarded: { attempts },
            },
            handler,
          ),
        decodeHead: (status, headers) =>
          host.decodeForwardedHead(callerRequest.id, status, headers),
        onHead: () => {},
        onFirstByte: () => {},
        onFirstEvent: () => Object.assign(request, { isBegunElsewhere: true }),
      },
      request,
      Infinity,
    );
    count(-1);
    const result = getResult(outcome);
    host.countForward(result.kind);
    return result;
  }

  return { tryGetCarrier, forward };
}

/** Returns the outcome for the caller: a refusal of the carrier is final unless it is the carrier's own. */
function getResult(outcome: AttemptOutcome): AttemptOutcome {
  if (outcome.kind !== 'notRun') {
    return outcome;
  }
  const { head, body } = outcome;
  return CARRIER_REFUSALS.has(getRefusalCode(body))
    ? { kind: 'notSent', reason: 'carrier' }
    : { kind: 'refused', head, body };
}

function getRefusalCode(body: Buffer): string {
  try {
    const { error } = JSON.parse(body.toString()) as { error?: { code?: string } };
    return error?.code ?? '';
  } catch {
    return '';
  }
}
