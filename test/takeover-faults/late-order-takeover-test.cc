// Tests of a pool's scheduler across takeovers, against workers that carry
// orders of a former holder out late.
#include "schedule/late-orders.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;

// Guards against two runs of one task: a worker that has started again under
// its id carries an order of a former holder out beside the successor's run.
HEATHERCROSS_STORY(LateOrdersAcrossTakeovers,
                   "no task runs twice when a pool's holder changes") {
  HEATHERCROSS_PROPERTY("whichever orders are late", [] {
    // All kinds of faults, from none to a change of the holder.
    runLateOrders(rc::gen::element(0, 1, 2, 3, 4, 5, 6, 7, 8, 9),
                  [](const PoolFaults &F) { return F.RunTwice_ == 0; });
  });
}
