// Slopes: what an entry and the platform's table cost at growing sizes.
#pragma once

namespace heathercross::bench {

/// Runs clusters of growing sizes, each watched for so many seconds, and
/// prints the tables. False when a cluster doesn't come up; the sizes after it
/// are still tried.
bool runCapacity(int Seconds);

} // namespace heathercross::bench
