import type createHeldBytes from '../clientLimits/createHeldBytes';
import type createReadTurns from '../clientLimits/createReadTurns';

/** Where the bodies that are read count, and the turns of those in very small chunks. */
interface BodyAccount {
  held: ReturnType<typeof createHeldBytes>;
  turns: ReturnType<typeof createReadTurns>;
}

export default BodyAccount;
