// Decides when a changed settings file is taken.
#pragma once

#include <string>
#include <utility>

namespace heathercross::entry {

/// Follows the text of a file that may change at any time and without notice.
class SettingsWatch {
public:
  /// Takes in the text at one look; returns whether it is to be read. A new
  /// text is read once, when a second look finds it unchanged: at the first it
  /// may still be written.
  bool look(std::string Text) {
    const bool Settled = Text == Last_;
    Last_ = std::move(Text);
    if (!Settled || Last_ == Read_)
      return false;
    Read_ = Last_;
    return true;
  }
  /// Notes that a text was read at once, as after a signal.
  void read(std::string Text) {
    Read_ = std::move(Text);
    Last_ = Read_;
  }

private:
  std::string Last_;
  std::string Read_;
};

} // namespace heathercross::entry
