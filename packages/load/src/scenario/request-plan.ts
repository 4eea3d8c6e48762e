/** Plans the requests of a scenario: when, whose, where to and how long; all from one seed. */
import type { Arrival } from '../open-loop.ts';
import { planArrivals } from '../open-loop.ts';
import { Random } from '../random.ts';
import type { ScenarioLoad } from './scenario.ts';

const SECOND_MS = 1_000;

/** Turns after which a conversation ends. */
const CONVERSATION_TURNS = 5;
const OPEN_CONVERSATIONS = 4;
const WORDS_PER_TURN = 24;
const SYSTEM_PROMPT_WORDS = 60;

/** Kinds of planned requests. */
export enum RequestKind {
  Chat = 'chat',
  /** A call that must not run twice. */
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
  const book = new ConversationBook(random, load.conversation_share);
  const arrivals = planArrivals(load.rate, load.duration_s * SECOND_MS, random);
  return arrivals.map(({ dueMs }, serial) => {
    const workspace = pickByShare(shares, random.uniform());
    const isHome = random.uniform() < load.router_affinity;
    return {
      dueMs,
      serial,
      workspace,
      router: isHome ? workspace % routers : random.integer(routers),
      kind: random.uniform() < load.once_share ? RequestKind.NonIdempotent : RequestKind.Chat,
      prompt: book.nextPrompt(workspace, serial),
      outputTokens: random.boundedPareto(load.least_tokens, load.most_tokens, load.tail),
    };
  });
}

/** Shares of the rate by the Zipf law; they add up to 1. */
export function computeZipfShares(count: number, skew: number): number[] {
  const raw = Array.from({ length: count }, (_, index) => (index + 1) ** -skew);
  const total = raw.reduce((sum, value) => sum + value, 0);
  return raw.map((value) => value / total);
}

function pickByShare(shares: readonly number[], at: number): number {
  let passed = 0;
  const found = shares.findIndex((share) => {
    passed += share;
    return at < passed;
  });
  return found < 0 ? shares.length - 1 : found;
}

/** Prompts of conversations: each turn repeats all that came before, so that its prefix is shared. */
class ConversationBook {
  private readonly random: Random;
  private readonly share: number;
  private readonly open = new Map<number, { prompt: string; turns: number }[]>();

  constructor(random: Random, share: number) {
    this.random = random;
    this.share = share;
  }

  nextPrompt(workspace: number, serial: number): string {
    const conversations = this.open.get(workspace) ?? [];
    this.open.set(workspace, conversations);
    const turn = writeWords(`turn-${serial}`, WORDS_PER_TURN);
    if (conversations.length > 0 && this.random.uniform() < this.share) {
      const index = this.random.integer(conversations.length);
      const conversation = conversations[index];
      if (conversation !== undefined) return this.continue(conversations, index, turn);
    }
    const prompt = `${writeWords(`workspace-${workspace}`, SYSTEM_PROMPT_WORDS)} ${turn}`;
    conversations.push({ prompt, turns: 1 });
    if (conversations.length > OPEN_CONVERSATIONS) conversations.shift();
    return prompt;
  }

  private continue(
    conversations: { prompt: string; turns: number }[],
    index: number,
    turn: string,
  ): string {
    const conversation = conversations[index];
    if (conversation === undefined) return turn;
    conversation.prompt += ` ${turn}`;
    conversation.turns += 1;
    if (conversation.turns >= CONVERSATION_TURNS) conversations.splice(index, 1);
    return conversation.prompt;
  }
}

function writeWords(stem: string, count: number): string {
  return Array.from({ length: count }, (_, index) => `${stem}-${index}`).join(' ');
}
