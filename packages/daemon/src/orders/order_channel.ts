/** Peer channel of the orders slice. */
export const ORDER_CHANNEL = "orders";
