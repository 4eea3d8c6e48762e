import { callChat, CallOutcome } from '@poplarpick/load';
import { expect } from 'chai';
import { planSmallSite } from '../faults/schedule-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import {
  checkRawCallerBytes,
  checkCallerParsers,
  checkFrameRoundTrip,
  checkFrameDecoderLimit,
} from './fuzz-properties.ts';

const CASES = 2_000;
const EXCHANGES = 300;

describe('any input', () => {
  it('survives encoding and decoding as frames', () =>
    checkFrameRoundTrip({ cases: CASES, seed: 1 }));

  it('is decoded or rejected by the frame decoder, which buffers no more than its limit', () =>
    checkFrameDecoderLimit({ cases: CASES, seed: 2 }));

  it("is parsed or rejected as not run by the callers' interface", () =>
    checkCallerParsers({ cases: CASES, seed: 3 }));

  it('leaves a router able to serve others', async () => {
    const fleet = await ProcessFleet.start({ plan: planSmallSite(), routers: 1 });
    try {
      await checkRawCallerBytes(fleet.routers[0]?.callersAddress ?? '', {
        cases: EXCHANGES,
        seed: 4,
      });
      const { workspaces, model } = fleet.site.plan;
      const call = { url: fleet.routerUrls[0] ?? '', key: workspaces[0]?.key ?? '', model };
      const { outcome } = await callChat({ ...call, prompt: 'after all that', outputTokens: 4 });
      expect(outcome).to.equal(CallOutcome.Complete);
    } finally {
      await fleet.stop();
    }
  });
});
