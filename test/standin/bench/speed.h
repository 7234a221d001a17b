// Measures the latency, throughput and resource use of one entry instance.
#pragma once

namespace heathercross::bench {

/// Runs each load for Seconds and prints the tables. Returns false if the
/// processes don't start.
bool runSpeed(int Seconds);

} // namespace heathercross::bench
