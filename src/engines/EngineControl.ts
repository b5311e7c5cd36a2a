import type Outcome from '../shared/Outcome';
import type EngineFault from './EngineFault';
import type EngineOrder from './EngineOrder';
import type EngineReport from './EngineReport';

/** Orders to engines and their reports. */
interface EngineControl {
  order(
    engine: { id: string; address: string },
    order: EngineOrder,
    by: { holder: string; fence: number; expectedSequence: number },
  ): Promise<Outcome<'accepted' | 'held', EngineFault>>;
  report(engine: { id: string; address: string }): Promise<Outcome<EngineReport, EngineFault>>;
}

export default EngineControl;
