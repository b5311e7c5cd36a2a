import type Result from '../shared/Result';
import type EngineFault from './EngineFault';
import type EngineCommand from './EngineCommand';
import type EngineReport from './EngineReport';

/** Orders to engines and their reports. */
interface EngineControl {
  sendCommand(
    engine: { id: string; address: string },
    order: EngineCommand,
    by: { holder: string; fence: number; expectedSequence: number },
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  getReport(engine: { id: string; address: string }): Promise<Result<EngineReport, EngineFault>>;
}

export default EngineControl;
