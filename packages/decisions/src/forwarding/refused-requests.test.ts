import { expect } from 'chai';
import type { Prompt } from './prompt.ts';
import { fingerprintRequest, RefusedRequests } from './refused-requests.ts';

const PROMPT: Prompt = {
  model: 'm',
  segments: [
    { id: 'shared', tokens: 100 },
    { id: 'own', tokens: 20 },
  ],
  inputTokens: 120,
  maxOutputTokens: 50,
  outputTokens: 30,
};

function fingerprint(workspace = 'w', prompt: Prompt = PROMPT): number {
  return fingerprintRequest(workspace, prompt) ?? 0;
}

describe('refused requests', () => {
  it('recognize the retry of a refused request once', () => {
    const refused = new RefusedRequests();
    expect(refused.takeRetry(fingerprint(), 0)).to.equal(false);
    refused.record(fingerprint(), 0);
    expect(refused.takeRetry(fingerprint(), 1_000)).to.equal(true);
    expect(refused.takeRetry(fingerprint(), 1_001)).to.equal(false);
  });

  it('are forgotten after a few seconds', () => {
    const refused = new RefusedRequests();
    refused.record(fingerprint(), 0);
    expect(refused.takeRetry(fingerprint(), 5_001)).to.equal(false);
  });

  it('differ by workspace, segments, model and token counts', () => {
    const own = { ...PROMPT, segments: [{ id: 'shared', tokens: 100 }] };
    const others = [
      fingerprint('other'),
      fingerprint('w', own),
      fingerprint('w', { ...PROMPT, model: 'n' }),
      fingerprint('w', { ...PROMPT, maxOutputTokens: 51 }),
    ];
    expect(others).to.not.include(fingerprint());
    expect(fingerprint('w', { ...PROMPT, outputTokens: 1 })).to.equal(fingerprint());
  });

  it('have no fingerprint without segments', () => {
    expect(fingerprintRequest('w', { ...PROMPT, segments: [] })).to.equal(undefined);
  });
});
