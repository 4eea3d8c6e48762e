/** Executes orders for the model engine stand-in; checks their fencing tokens if `checksFencing` is set. */

/** Kinds of orders. */
export enum OrderAction {
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
  LoadAdapter = 'load-adapter',
  UnloadAdapter = 'unload-adapter',
  SetVersion = 'set-version',
  SetRole = 'set-role',
}

/** Body of `POST /v1/orders`. */
export interface Order {
  /** Fencing token; compared as text, a higher one is newer. */
  fencing: string;
  action: OrderAction;
  /** Name of the model or adapter, or the new version or role. */
  value: string;
}

/** State that orders change; the body of `GET /v1/state`. */
export interface EngineState {
  models: string[];
  adapters: string[];
  version: string;
  role: string;
  /** Highest fencing token received. */
  fencing: string;
  /** Whether a model or adapter is being loaded. */
  loading: boolean;
}

/** Result of an order. */
export enum OrderResult {
  Done = 'done',
  /** The fencing token is lower than one received before. */
  Stale = 'stale',
  /** Another load is in progress. */
  Busy = 'busy',
  /** The weight store refused the read. */
  NoWeights = 'no-weights',
}

/** Options of an `OrderExecutor`. */
export interface OrderExecutorOptions {
  models: string[];
  checksFencing: boolean;
  loadMs: number;
  /** Base URL of the weight store; without one, loads fetch no weights. */
  weightStore?: string | undefined;
}

/** Executes orders and stores the state that they change. */
export class OrderExecutor {
  readonly state: EngineState;
  private readonly options: OrderExecutorOptions;

  constructor(options: OrderExecutorOptions) {
    this.options = options;
    this.state = {
      models: [...options.models],
      adapters: [],
      version: '1',
      role: 'mixed',
      fencing: '',
      loading: false,
    };
  }

  async execute(order: Order): Promise<OrderResult> {
    if (this.options.checksFencing && order.fencing < this.state.fencing) return OrderResult.Stale;
    if (order.fencing > this.state.fencing) this.state.fencing = order.fencing;
    if (order.action === OrderAction.LoadModel || order.action === OrderAction.LoadAdapter)
      return this.load(order);
    this.apply(order);
    return OrderResult.Done;
  }

  private async load(order: Order): Promise<OrderResult> {
    if (this.state.loading) return OrderResult.Busy;
    this.state.loading = true;
    try {
      if (!(await this.fetchWeights(order.value))) return OrderResult.NoWeights;
      await new Promise((resolve) => setTimeout(resolve, this.options.loadMs));
      this.apply(order);
      return OrderResult.Done;
    } finally {
      this.state.loading = false;
    }
  }

  private async fetchWeights(name: string): Promise<boolean> {
    if (this.options.weightStore === undefined) return true;
    const response = await fetch(
      `${this.options.weightStore}/v1/weights/${encodeURIComponent(name)}`,
    );
    return response.ok;
  }

  private apply({ action, value }: Order): void {
    const { state } = this;
    switch (action) {
      case OrderAction.LoadModel:
        state.models = [...new Set([...state.models, value])];
        return;
      case OrderAction.UnloadModel:
        state.models = state.models.filter((name) => name !== value);
        return;
      case OrderAction.LoadAdapter:
        state.adapters = [...new Set([...state.adapters, value])];
        return;
      case OrderAction.UnloadAdapter:
        state.adapters = state.adapters.filter((name) => name !== value);
        return;
      case OrderAction.SetVersion:
        state.version = value;
        return;
      case OrderAction.SetRole:
        state.role = value;
    }
  }
}
