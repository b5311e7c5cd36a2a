import type CallerRequest from '../../src/gateway/CallerRequest';
import MODEL from './MODEL';

/** Creates a stream request for an adapter. */
export default function createRequest(index: number, adapter: string): CallerRequest {
  return {
    id: `request-${index}`,
    method: 'POST',
    path: '/chat/1',
    host: 'fleet.example',
    caller: undefined,
    headers: [],
    deadlineMs: 10_000,
    model: MODEL,
    adapter,
    promptTokens: 300,
    outputTokens: 50,
    sharedPromptParts: [],
    resumeAfter: undefined,
    resumedRequest: undefined,
    body: Buffer.alloc(0),
  };
}
