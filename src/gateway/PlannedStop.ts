/** The planned stop of this VM. Times are in milliseconds of the clock. */
interface PlannedStop {
  /** Callers use other addresses from this time on. */
  addressesExpireAt: number;
  /** Requests in progress are ended at this time. */
  endsAt: number;
}

export default PlannedStop;
