/** Notices of duties that have a new holder. */
export const DUTY_TOPIC = "order-duties";
