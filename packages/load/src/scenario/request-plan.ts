/** Plans time, workspace, router, prompt and answer length of a scenario's requests from one seed. */
import type { Arrival } from '../open-loop.ts';
import { planArrivals } from '../open-loop.ts';
import { Random } from '../random.ts';
import { sum } from '../statistics.ts';
import type { ScenarioLoad } from './scenario.ts';

const SECOND_MS = 1_000;

/** Turns after which a conversation ends. */
const MAX_CONVERSATION_TURNS = 5;
/** Open conversations per workspace; starting another one drops the oldest. */
const MAX_OPEN_CONVERSATIONS = 4;
const WORDS_PER_TURN = 24;
const SYSTEM_PROMPT_WORDS = 60;

/** Kinds of planned requests. */
export enum RequestKind {
  Chat = 'chat',
  /** A non-idempotent call, which must not be executed twice. */
  NonIdempotent = 'once',
}

/** One planned request. */
export interface PlannedRequest extends Arrival {
  kind: RequestKind;
  /** Unique within the run. */
  serial: number;
  /** Index of the workspace and of the router. */
  workspace: number;
  router: number;
  prompt: string;
  outputTokens: number;
}

/** Options of `planRequests`. */
export interface RequestPlanOptions {
  load: ScenarioLoad;
  seed: number;
  workspaces: number;
  routers: number;
}

/** Plans all requests of a run. */
export function planRequests(options: RequestPlanOptions): PlannedRequest[] {
  const { load, workspaces, routers } = options;
  const random = new Random(options.seed);
  const shares = computeZipfShares(workspaces, load.workspace_skew);
  const prompts = new PromptGenerator(random, load.conversation_share);
  const arrivals = planArrivals(load.rate, load.duration_s * SECOND_MS, random);
  return arrivals.map(({ dueMs }, serial) => {
    const workspace = pickByShare(shares, random.uniform());
    const usesHomeRouter = random.uniform() < load.router_affinity;
    return {
      dueMs,
      serial,
      workspace,
      router: usesHomeRouter ? workspace % routers : random.integer(routers),
      kind: random.uniform() < load.once_share ? RequestKind.NonIdempotent : RequestKind.Chat,
      prompt: prompts.nextPrompt(workspace, serial),
      outputTokens: random.boundedPareto(load.least_tokens, load.most_tokens, load.tail),
    };
  });
}

/** Computes shares of the rate by a Zipf distribution with exponent `skew`; they add up to 1. */
export function computeZipfShares(count: number, skew: number): number[] {
  const raw = Array.from({ length: count }, (_, index) => (index + 1) ** -skew);
  const total = sum(raw);
  return raw.map((value) => value / total);
}

function pickByShare(shares: readonly number[], point: number): number {
  let cumulative = 0;
  const found = shares.findIndex((share) => {
    cumulative += share;
    return point < cumulative;
  });
  return found < 0 ? shares.length - 1 : found;
}

/** Generates prompts of conversations, where each turn repeats the earlier ones as its prefix. */
class PromptGenerator {
  private readonly random: Random;
  private readonly conversationShare: number;
  private readonly conversationsByWorkspace = new Map<
    number,
    { prompt: string; turns: number }[]
  >();

  constructor(random: Random, conversationShare: number) {
    this.random = random;
    this.conversationShare = conversationShare;
  }

  nextPrompt(workspace: number, serial: number): string {
    const conversations = this.conversationsByWorkspace.get(workspace) ?? [];
    this.conversationsByWorkspace.set(workspace, conversations);
    const turn = generateWords(`turn-${serial}`, WORDS_PER_TURN);
    if (conversations.length > 0 && this.random.uniform() < this.conversationShare) {
      const index = this.random.integer(conversations.length);
      const conversation = conversations[index];
      if (conversation !== undefined) return this.continueConversation(conversations, index, turn);
    }
    const prompt = `${generateWords(`workspace-${workspace}`, SYSTEM_PROMPT_WORDS)} ${turn}`;
    conversations.push({ prompt, turns: 1 });
    if (conversations.length > MAX_OPEN_CONVERSATIONS) conversations.shift();
    return prompt;
  }

  private continueConversation(
    conversations: { prompt: string; turns: number }[],
    index: number,
    turn: string,
  ): string {
    const conversation = conversations[index];
    if (conversation === undefined) return turn;
    conversation.prompt += ` ${turn}`;
    conversation.turns += 1;
    if (conversation.turns >= MAX_CONVERSATION_TURNS) conversations.splice(index, 1);
    return conversation.prompt;
  }
}

function generateWords(prefix: string, count: number): string {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`).join(' ');
}
