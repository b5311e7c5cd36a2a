import type Manifest from '../manifest/Manifest';
import type Upstream from '../upstream/Upstream';

/**
 * A change of a key of the key-value service, decoded. `manifest` is undefined if the manifest is
 * invalid; `upstream` is undefined if the registration is deleted or unreadable.
 */
type DecodedChange =
  | { kind: 'manifest'; manifest: Manifest | undefined }
  | { kind: 'upstream'; id: string; upstream: Upstream | undefined }
  | { kind: 'version'; model: string; adapter: string | undefined; version: number }
  | { kind: 'other' };

export default DecodedChange;
