/** The routers of the poison replay and the network between them, which loses and delays datagrams. */
import type { Clock } from '@poplarpick/kernel';
import type { Random } from '@poplarpick/load';
import { ReplayRouter } from './replay-router.ts';

const SEEDS = 3;
const FIRST_TURN_MS = 100;
const MAX_DELAY_MS = 60;
const RESTART_MS = 1_000;

/** Options of a `RouterFleet`. */
export interface RouterFleetOptions {
  routers: number;
  dataCentres: number;
  /** Fraction of lost datagrams. */
  loss: number;
  clock: Clock;
  random: Random;
}

/** Routers that can be killed, and start again with nothing that they knew. */
export class RouterFleet {
  private readonly options: RouterFleetOptions;
  private readonly addresses: readonly string[];
  private readonly routers = new Map<string, ReplayRouter>();

  constructor(options: RouterFleetOptions) {
    this.options = options;
    this.addresses = Array.from({ length: options.routers }, (_, index) =>
      makeAddress(index, options.dataCentres),
    );
    for (const address of this.addresses) this.start(address);
  }

  /** Routers that run. */
  listRunning(): ReplayRouter[] {
    return [...this.routers.values()].filter(({ isRunning }) => isRunning);
  }

  /** Kills a router, which starts again soon. */
  restart(router: ReplayRouter): void {
    router.kill();
    this.options.clock.after(RESTART_MS, () => this.start(router.address));
  }

  private start(address: string): void {
    const { clock, random } = this.options;
    const router = new ReplayRouter({
      address,
      dataCentre: dataCentreOf(address),
      seeds: this.addresses.slice(0, SEEDS),
      clock,
      firstTurnMs: random.uniform() * FIRST_TURN_MS,
      random: () => random.uniform(),
      transmit: (target, message) => this.transmit(address, target, message),
    });
    this.routers.set(address, router);
  }

  private transmit(sender: string, target: string, message: Buffer): void {
    const { clock, random, loss } = this.options;
    if (random.uniform() < loss) return;
    clock.after(random.uniform() * MAX_DELAY_MS, () => {
      const router = this.routers.get(target);
      if (router?.isRunning === true) router.exchange.receive(message, sender);
    });
  }
}

/** An address whose second number is the data centre. */
function makeAddress(index: number, dataCentres: number): string {
  return `10.${index % dataCentres}.0.${Math.floor(index / dataCentres) + 1}:7400`;
}

function dataCentreOf(address: string): string {
  return `dc-${address.split('.')[1]}`;
}
