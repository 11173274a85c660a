/** Orders: calls of plain services; runs non-repeatable calls at most once. @module */
export { createOrders } from "./create_orders.ts";
export type { Orders, OrdersOptions } from "./create_orders.ts";
export { createOrderTables } from "./create_order_tables.ts";
