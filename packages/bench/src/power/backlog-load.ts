/** Closed-loop callers that keep requests waiting for every slot of a site. */
import { callApplication, callChat, CallOutcome, buildChatBody, Random } from '@poplarpick/load';
import { expectedAnswer } from '@poplarpick/stand-ins';
import type { ProcessFleet } from '../process-fleet/process-fleet.ts';

const MIN_TOKENS = 20;
const MAX_TOKENS = 400;

/** Number of callers per slot of the site. */
const CALLERS_PER_SLOT = 2;

/** Delay of the next request after a refusal. */
const RETRY_DELAY_MS = 50;

/** Number of answers by outcome. */
export interface LoadCounts {
  /** Complete answers with the expected text. */
  whole: number;
  /** Answers that were interrupted or differ from what the engine generates. */
  wrong: number;
  refused: number;
}

/** Runs callers until `stop`. Each sends its next request when the last one has ended. */
export class BacklogLoad {
  readonly counts: LoadCounts = { whole: 0, wrong: 0, refused: 0 };
  private readonly fleet: ProcessFleet;
  private readonly random: Random;
  private readonly callers: Promise<void>[] = [];
  private stopped = false;

  constructor(fleet: ProcessFleet, seed: number) {
    this.fleet = fleet;
    this.random = new Random(seed);
  }

  start(): void {
    const { endpoints } = this.fleet.site.plan;
    for (const { kind, slots } of endpoints) {
      for (let index = 0; index < slots * CALLERS_PER_SLOT; index += 1) {
        this.callers.push(this.runCaller(this.callers.length, kind === 'model'));
      }
    }
  }

  /** Stops sending requests and waits for the answers to the open ones. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.callers);
  }

  private async runCaller(caller: number, isChat: boolean): Promise<void> {
    for (let sequence = 0; !this.stopped; sequence += 1) {
      const outcome = isChat
        ? await this.sendChat(caller, sequence)
        : await this.callService(caller, sequence);
      if (outcome === CallOutcome.Complete) this.counts.whole += 1;
      else if (outcome === CallOutcome.Interrupted) this.counts.wrong += 1;
      else {
        this.counts.refused += 1;
        await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
  }

  private async sendChat(caller: number, sequence: number): Promise<CallOutcome> {
    const tokens = MIN_TOKENS + this.random.integer(MAX_TOKENS - MIN_TOKENS);
    const { model } = this.fleet.site.plan;
    const call = {
      ...this.selectTarget(caller),
      model,
      prompt: `caller ${caller} turn ${sequence}`,
      outputTokens: tokens,
    };
    const { outcome, text } = await callChat(call);
    if (outcome !== CallOutcome.Complete) return outcome;
    return text === expectedAnswer(buildChatBody(call)) ? outcome : CallOutcome.Interrupted;
  }

  private async callService(caller: number, sequence: number): Promise<CallOutcome> {
    const { service, nonIdempotentPath } = this.fleet.site.plan;
    const body = { key: `caller ${caller} turn ${sequence}` };
    const { outcome } = await callApplication({
      ...this.selectTarget(caller),
      service,
      path: nonIdempotentPath,
      body,
    });
    return outcome;
  }

  private selectTarget(caller: number): { url: string; key: string } {
    const { workspaces } = this.fleet.site.plan;
    const urls = this.fleet.routerUrls;
    const workspace = workspaces[caller % workspaces.length];
    return { url: urls[caller % urls.length] ?? '', key: workspace?.key ?? '' };
  }
}
