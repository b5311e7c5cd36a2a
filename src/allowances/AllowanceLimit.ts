import type Allowance from '../manifest/Allowance';

/** Allowance by the manifest of one version; the one of the newest version counts. */
interface AllowanceLimit extends Pick<Allowance, 'perSecond' | 'burst'> {
  version: number;
}

export default AllowanceLimit;
