/**
 * Starts the timeout of a connect and returns a function that cancels it. After a stall of the
 * process, due timers fire before established connections are polled, so the callback waits until
 * one poll has reported them.
 */
export function startConnectTimer(timeoutMs: number, onTimeout: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(onTimeout);
  }, timeoutMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
