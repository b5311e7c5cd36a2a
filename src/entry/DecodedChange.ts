import type Manifest from '../manifest/Manifest';
import type Upstream from '../upstream/Upstream';

/** What a key of the key-value service means to an entry VM. */
type DecodedChange =
  | { kind: 'manifest'; manifest: Manifest | undefined }
  | { kind: 'upstream'; id: string; upstream: Upstream | undefined }
  | { kind: 'version'; model: string; adapter: string | undefined; version: number }
  | { kind: 'other' };

export default DecodedChange;
