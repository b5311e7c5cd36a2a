import type CallerRequest from '../gateway/CallerRequest';
import type Refusal from '../gateway/Refusal';
import type Manifest from '../manifest/Manifest';
import type Organisation from '../manifest/Organisation';
import type Route from '../manifest/Route';
import type Result from '../shared/Result';

const UNCONFIRMED_RETRY_AFTER_MS = 500;

/** A request as it is passed on, and the organisation that it counts for. */
interface IdentifiedRequest {
  callerRequest: CallerRequest;
  organisation: Organisation | undefined;
}

interface IdentificationHost {
  /** Returns the time since the store, or a VM that had read it, has confirmed this VM's manifest. */
  getUnconfirmedMs(now: number): number;
  /** Returns the time without confirmation after which keys are no longer accepted. */
  getMaxUnconfirmedMs(): number;
}

/**
 * Determines which organisation a request belongs to, and what is passed on of the headers by which its
 * caller identifies itself. A load with many keys costs one look-up for each request.
 */
export default function createIdentification(host: IdentificationHost) {
  let indexed: Manifest['organisations'];
  let organisationsByName: ReadonlyMap<string, Organisation> = new Map();

  function identify(
    now: number,
    manifest: Pick<Manifest, 'organisations'>,
    route: Pick<Route, 'isPublic'>,
    request: CallerRequest,
  ): Result<IdentifiedRequest, Refusal> {
    const { credentials, ...callerRequest } = request;
    if (callerRequest.verified) {
      // The VM that forwards the request has checked its key; this VM may have an older manifest.
      const name = callerRequest.verified.organisation;
      return {
        ok: true,
        value: { callerRequest, organisation: getByName(manifest.organisations, name) },
      };
    }
    if (!manifest.organisations) {
      const headers = credentials?.allHeaders ?? callerRequest.headers;
      return {
        ok: true,
        value: { callerRequest: { ...callerRequest, headers }, organisation: undefined },
      };
    }
    if (!route.isPublic && host.getUnconfirmedMs(now) > host.getMaxUnconfirmedMs()) {
      return {
        ok: false,
        error: { kind: 'unconfirmed', retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS },
      };
    }
    const key = credentials?.apiKey;
    const organisation = key === undefined ? undefined : manifest.organisations.get(key);
    if (!organisation && !route.isPublic) {
      return { ok: false, error: { kind: 'unknownKey' } };
    }
    const verified = { organisation: organisation?.name };
    return {
      ok: true,
      value: {
        callerRequest: { ...callerRequest, caller: organisation?.name, verified },
        organisation,
      },
    };
  }

  /** Returns an organisation by its name; one that this VM's manifest lacks has no settings. */
  function getByName(
    organisations: Manifest['organisations'],
    name: string | undefined,
  ): Organisation | undefined {
    if (organisations !== indexed) {
      indexed = organisations;
      const values = [...(organisations?.values() ?? [])];
      organisationsByName = new Map(values.map((value) => [value.name, value]));
    }
    return name === undefined
      ? undefined
      : (organisationsByName.get(name) ?? { name, urgency: undefined, allowance: undefined });
  }

  return { identify };
}
