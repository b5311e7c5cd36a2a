import type Result from '../shared/Result';
import type EngineFault from './EngineFault';
import type EngineCommand from './EngineCommand';
import type EngineReport from './EngineReport';

/** Sends commands to engines and reads their reports. */
interface EngineControl {
  sendCommand(
    engine: { id: string; address: string },
    command: EngineCommand,
    condition: { holder: string; fence: number; expectedSequence: number },
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  getReport(engine: { id: string; address: string }): Promise<Result<EngineReport, EngineFault>>;
}

export default EngineControl;
