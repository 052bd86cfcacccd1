import sys, time
from tests._paused import use_running_clock

use_running_clock()
import tests.test_broken_streams as t

end = time.time() + 100
n = bad = 0
while time.time() < end:
    for cut in range(len(t.WHOLE) + 1):
        e = t.ScriptedEngine(cut, "open", is_reset=True)
        st, b, c = t.relay(e, is_resumable=False)
        n += 1
        if st == 200 and c:
            bad += 1
            print("bad", cut, b, len(e.requests), flush=True)
print(n, bad)
