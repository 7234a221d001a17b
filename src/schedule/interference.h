// Learns which images slow each other down when their tasks share a worker.
//
// Load: serving tasks whose tail latency must stay below a goal share workers
// with filler tasks of several images. Some of these raise the tail of some
// serving images far above its goal, and which ones changes within seconds. The
// load of a serving task raises its tail in the same way.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// What the tasks of a step run. Tasks of one image behave alike.
using ImageName = std::string;

/// How much of some time the tasks of each image worked on a worker: 1 for a
/// task that worked all the time, less for a throttled one. Several tasks of an
/// image add up.
using ImageActivity = std::map<ImageName, double>;

/// Sums of weighted figures in which older figures count less.
class FadingSums {
public:
  void add(double Figure, double Weight, Instant Now);
  /// Scales the sums down so that their weight is at most MaxWeight.
  void limitWeight(double MaxWeight);
  /// Returns these sums without the figures that Part contains, too.
  FadingSums without(const FadingSums &Part, Instant Now) const;

  /// The weight of all figures at a time that isn't earlier than the last one.
  double weight(Instant Now) const;
  /// The mean and the variance; 0 without figures.
  double mean() const;
  double variance() const;

private:
  void fade(Instant Now);

  double Weight_ = 0;
  double Sum_ = 0;
  double SumOfSquares_ = 0;
  Instant At_;
};

/// A pair of images of which the second one raises the latency of the first.
struct ImagePair {
  ImageName Observed_;
  ImageName Neighbour_;
  auto operator<=>(const ImagePair &) const = default;
};

/// What is known of a pair that interferes: the tail latency as a share of its
/// goal, beside a neighbour that works all the time and without it.
struct InterferenceEffect {
  double TailWith_ = 0;
  double TailWithout_ = 0;

  double difference() const { return TailWith_ - TailWithout_; }
};

/// A pair that became known to interfere, or ceased to.
struct InterferenceChange {
  ImagePair Pair_;
  bool Known_ = false;
  InterferenceEffect Effect_;
};

/// The cost of placing a task next to the tasks of a worker.
struct InterferenceCost {
  /// The sum of known differences, in percent of the latency goals.
  std::uint32_t Percent_ = 0;
  /// A best-effort task would be throttled to 0 there: beside it the latency
  /// of a serving task exceeds its goal.
  bool Stalls_ = false;
};

/// Starts that knowledge of interference affected.
struct InterferenceStarts {
  /// Starts that left out a worker with room.
  std::uint64_t Avoided_ = 0;
  /// Starts next to an interfering task for lack of other room.
  std::uint64_t Beside_ = 0;
};

/// The statistics of pairs of images. Each figure of a serving task counts for
/// the images that worked beside it, less the effects that are known of the
/// other ones, and as a figure without them for all others. So images that
/// often work next to a disturbing one aren't blamed. Those that always work
/// together show the same figures; only the one with the largest difference
/// becomes known, and the figures of the others begin anew.
class Interference {
public:
  /// The most serving images, and the most neighbours of each one. The least
  /// recently seen ones are dropped.
  static constexpr std::size_t MaxImages = 64;
  static constexpr std::size_t MaxNeighbours = 64;

  /// Takes in the tail latency of a serving task as a share of its goal, and
  /// the activity of the other tasks on its worker during the time that the
  /// figure covers.
  void observe(const ImageName &Observed, double TailShare,
               const ImageActivity &Others, Instant Now);
  /// Drops knowledge that is too old. Has an effect once a second.
  void expire(Instant Now);

  /// The cost of a task of an image next to these images. Without a known pair
  /// of the image it takes one lookup.
  InterferenceCost cost(const ImageName &Image,
                        const std::map<ImageName, std::uint32_t> &Runs) const;
  /// Whether any pair is known to interfere.
  bool anyKnown() const { return !Known_.empty(); }
  const std::map<ImagePair, InterferenceEffect> &known() const {
    return Known_;
  }
  /// Returns and clears the changes of the known pairs.
  std::vector<InterferenceChange> takeChanges();

  /// The numbers of serving images, and of pairs of which figures are kept.
  std::size_t images() const { return Images_.size(); }
  std::size_t pairs() const;

  InterferenceStarts Starts_;

private:
  struct PairFigures {
    /// Figures beside the neighbour, weighted by its activity.
    FadingSums With_;
    /// That activity, weighted by itself.
    FadingSums Activity_;
    /// Those figures of ImageFigures::All_ for which the neighbour was active.
    FadingSums Active_;
    /// The pair was known, and this faded without figures that deny it.
    bool Faded_ = false;
    Instant SeenAt_;
  };
  struct ImageFigures {
    /// All figures, less the known effects of neighbours.
    FadingSums All_;
    std::map<ImageName, PairFigures> Neighbours_;
    Instant SeenAt_;
  };

  /// What the figures say of a pair.
  enum class Verdict : std::uint8_t { TooFewFigures, NoEffect, Interferes };
  struct Assessment {
    Verdict Verdict_ = Verdict::TooFewFigures;
    InterferenceEffect Effect_;
  };

  /// The known effect of a neighbour on a serving image; 0 if there is none.
  double knownEffect(const ImageName &Observed, const ImageName &Neighbour,
                     double Activity) const;
  /// Counts a figure for one neighbour. Rest is the part of it that no known
  /// image explains.
  void addFigure(const ImageName &Observed, ImageFigures &Figures,
                 const ImageName &Neighbour, double Activity, double Rest,
                 Instant Now);
  static Assessment assess(const ImageFigures &Figures, const PairFigures &Pair,
                           bool Known, Instant Now);
  /// Updates a known pair; it may cease to be one.
  void updateKnown(const ImagePair &Key, Instant Now);
  /// Makes the neighbour known that interferes most, if any of these does.
  void findNew(const ImageName &Observed, ImageFigures &Figures,
               const ImageActivity &Others, Instant Now);
  void setKnown(const ImagePair &Pair, const InterferenceEffect &Effect);
  void setUnknown(const ImagePair &Pair, const InterferenceEffect &Effect);
  /// Whether an image raises the latency of a serving image, as far as known.
  bool disturbs(const ImageName &Neighbour, const ImageName &Observed) const {
    return !Known_.empty() && Known_.contains({Observed, Neighbour});
  }
  /// Brings Costs_ up to date with a pair of Known_.
  void updateCosts(const ImagePair &Pair);
  void dropOldestImage();
  void dropOldestNeighbour(const ImageName &Observed, ImageFigures &Figures);

  std::map<ImageName, ImageFigures> Images_;
  std::map<ImagePair, InterferenceEffect> Known_;
  /// For each image of a known pair the cost next to its partners.
  std::map<ImageName, std::map<ImageName, InterferenceCost>> Costs_;
  std::vector<InterferenceChange> Changes_;
  Instant ExpiredAt_;
};

/// The activity of images on one worker during the last half second.
class ActivityHistory {
public:
  /// The time that a latency figure covers.
  static constexpr Millis Window{500};

  /// Whether the last record is long enough ago for the next one. Reports of a
  /// worker may come every 12 ms.
  bool recordDue(Instant Now) const;
  /// Records which images work now; several tasks of one image add up.
  void record(ImageActivity Now, Instant At);
  /// Whether the recorded time covers the window, and the last observation is
  /// long enough ago for the next one: figures overlap.
  bool observationDue(Instant Now) const;
  void observed(Instant Now) { ObservedAt_ = Now; }
  /// The mean activity of each image during the window.
  ImageActivity mean(Instant Now) const;
  Instant lastRecorded() const {
    return Records_.empty() ? Instant() : Records_.back().At_;
  }

private:
  struct Record {
    Instant At_;
    ImageActivity Activity_;
  };

  std::deque<Record> Records_;
  Instant ObservedAt_;
};

} // namespace heathercross::schedule
