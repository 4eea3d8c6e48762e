/** The extra work that operators allow this router for hedges, by pool. */
import { HedgeBudget } from '@poplarpick/decisions';

/** Stores the budget of each pool. */
export class HedgeBudgets {
  private readonly budgets = new Map<string, HedgeBudget>();
  private extraWork: number;

  /** `extraWork` is a fraction of the work of all first attempts, in 0..1; 0 turns hedging off. */
  constructor(extraWork = 0) {
    this.extraWork = extraWork;
  }

  get isEnabled(): boolean {
    return this.extraWork > 0;
  }

  /** Changes the allowed extra work; nothing that was earned before is kept. */
  setExtraWork(extraWork: number): void {
    if (extraWork === this.extraWork) return;
    this.extraWork = extraWork;
    this.budgets.clear();
  }

  budget(pool: string): HedgeBudget {
    let budget = this.budgets.get(pool);
    if (budget === undefined) {
      budget = new HedgeBudget(this.extraWork);
      this.budgets.set(pool, budget);
    }
    return budget;
  }
}
