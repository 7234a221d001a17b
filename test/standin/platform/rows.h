// The row store of the platform stand-in, held in memory.
#pragma once

#include "platform/store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::standin {

/// The result of a read; More_ is set if further rows match.
struct RowPage {
  std::vector<platform_api::StoredRow> Rows_;
  bool More_ = false;
};

/// Versioned rows; a transaction is applied atomically.
class Rows {
public:
  /// Applies a transaction. If one of its conditions fails, returns the current
  /// rows of all its conditions; otherwise nothing.
  std::optional<std::vector<platform_api::StoredRow>>
  apply(const platform_api::StoreTransaction &T);
  /// Returns the rows of one partition with keys in [From, To). An empty To
  /// means no upper bound; a limit of 0 means the maximum page size.
  RowPage read(const std::string &Table, const std::string &Partition,
               const std::string &From, const std::string &To,
               std::size_t Limit) const;
  /// Returns the rows of a table that changed after a version, including
  /// removed rows, ordered by version.
  std::vector<platform_api::StoredRow> changes(const std::string &Table,
                                               RowVersion After) const;
  RowVersion version() const { return Version_; }

private:
  platform_api::StoredRow current(const platform_api::RowPlace &Place) const;
  void put(platform_api::StoredRow R);

  RowVersion Version_;
  /// Includes removed rows, with the version of the removal.
  std::map<platform_api::RowPlace, platform_api::StoredRow> Rows_;
  /// The places of the rows of each table, by the version of the last change.
  std::map<std::string, std::multimap<RowVersion, platform_api::RowPlace>>
      PlacesByVersion_;
};

} // namespace heathercross::standin
