// Measures the cost of the decision logic in this process, without I/O.
#pragma once

#include "table.h"

namespace heathercross::bench {

/// Time to place a request and to handle its end, by number of workers.
Table decisionCost();
/// Time of one step of the fleet duty, by number of workers.
Table fleetStepCost();
/// Bytes of the heartbeats that one entry sends, by number of entries.
Table heartbeatBytes();
/// Time to apply one day's changes of the view, one by one.
Table viewApplyCost();

} // namespace heathercross::bench
