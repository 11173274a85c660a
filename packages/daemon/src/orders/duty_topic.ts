/** Topic of notices about duties that have a new holder. */
export const DUTY_TOPIC = "order-duties";
