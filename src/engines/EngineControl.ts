import type Result from '../shared/Result';
import type EngineFault from './EngineFault';
import type EngineCommand from './EngineCommand';
import type EngineReport from './EngineReport';

/** Receives the status and headers of each response of an engine. */
type OnHead = (status: number, headers: Record<string, string | string[] | undefined>) => void;

/** Sends commands to engines and reads their reports. */
interface EngineControl {
  sendCommand(
    engine: { id: string; address: string },
    command: EngineCommand,
    condition: { holder: string; fence: number; expectedSequence: number },
    onHead: OnHead,
  ): Promise<Result<'accepted' | 'held', EngineFault>>;
  getReport(
    engine: { id: string; address: string },
    onHead: OnHead,
  ): Promise<Result<EngineReport, EngineFault>>;
}

export default EngineControl;
