// An incremental parser of HTTP/1.1 responses.
#include "http/response-parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace heathercross::http {

namespace {

constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;
constexpr std::size_t MaxChunkLineBytes = 1024;
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
constexpr int FirstFinalStatus = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

bool equalIgnoringCase(std::string_view A, std::string_view B) {
  return std::ranges::equal(A, B, [](unsigned char X, unsigned char Y) {
    return std::tolower(X) == std::tolower(Y);
  });
}

std::string_view trimmed(std::string_view Text) {
  const auto First = Text.find_first_not_of(" \t");
  const auto Last = Text.find_last_not_of(" \t");
  return First == std::string_view::npos ? std::string_view()
                                         : Text.substr(First, Last - First + 1);
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  std::uint64_t N = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, N, Base);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return N;
}

} // namespace

ResponseParser::State ResponseParser::state() const {
  if (Phase_ == Phase::Failed)
    return State::Malformed;
  return Phase_ == Phase::Done ? State::Complete : State::Incomplete;
}

ResponseParser::State ResponseParser::feed(std::string_view Bytes) {
  Started_ = Started_ || !Bytes.empty();
  Buffer_ += Bytes;
  while (advance())
    ;
  if (Phase_ == Phase::Done && !Buffer_.empty())
    KeepsAlive_ = false;
  return state();
}

ResponseParser::State ResponseParser::finish() {
  KeepsAlive_ = false;
  if (Phase_ == Phase::BodyUntilEnd)
    Phase_ = Phase::Done;
  else if (Phase_ != Phase::Done)
    Phase_ = Phase::Failed;
  return state();
}

bool ResponseParser::advance() {
  switch (Phase_) {
  case Phase::Head: {
    const std::size_t End = Buffer_.find(HeadEnd);
    if (End == std::string::npos) {
      if (Buffer_.size() > MaxHeadBytes)
        Phase_ = Phase::Failed;
      return false;
    }
    parseHead(std::string_view(Buffer_).substr(0, End));
    Buffer_.erase(0, End + HeadEnd.size());
    return true;
  }
  case Phase::SizedBody:
    takeBody();
    if (RemainingBytes_ > 0)
      return false;
    Phase_ = Phase::Done;
    return true;
  case Phase::BodyUntilEnd:
    RemainingBytes_ = Buffer_.size();
    takeBody();
    return false;
  case Phase::ChunkSize: {
    const auto Line = takeLine();
    if (!Line)
      return false;
    const auto Size = parseNumber(
        trimmed(std::string_view(*Line).substr(0, Line->find(';'))), 16);
    RemainingBytes_ = Size.value_or(0);
    const auto Room = MaxBody_ - static_cast<std::uint64_t>(Body_.size());
    if (!Size || RemainingBytes_ > Room)
      Phase_ = Phase::Failed;
    else
      Phase_ = RemainingBytes_ == 0 ? Phase::Trailer : Phase::ChunkData;
    return true;
  }
  case Phase::ChunkData:
    takeBody();
    if (RemainingBytes_ > 0)
      return false;
    Phase_ = Phase::ChunkEnd;
    return true;
  case Phase::ChunkEnd: {
    const auto Line = takeLine();
    if (!Line)
      return false;
    Phase_ = Line->empty() ? Phase::ChunkSize : Phase::Failed;
    return true;
  }
  case Phase::Trailer: {
    const auto Line = takeLine();
    if (!Line)
      return false;
    if (Line->empty())
      Phase_ = Phase::Done;
    return true;
  }
  case Phase::Done:
  case Phase::Failed:
    return false;
  }
  return false;
}

std::optional<std::string> ResponseParser::takeLine() {
  const std::size_t End = Buffer_.find(LineEnd);
  if (End == std::string::npos) {
    if (Buffer_.size() > MaxChunkLineBytes)
      Phase_ = Phase::Failed;
    return std::nullopt;
  }
  std::string Line = Buffer_.substr(0, End);
  Buffer_.erase(0, End + LineEnd.size());
  return Line;
}

void ResponseParser::takeBody() {
  const auto Size = static_cast<std::size_t>(
      std::min<std::uint64_t>(RemainingBytes_, Buffer_.size()));
  if (static_cast<std::uint64_t>(Body_.size()) + Size > MaxBody_) {
    Phase_ = Phase::Failed;
    RemainingBytes_ = 1;
    return;
  }
  Body_.append(Buffer_.data(), static_cast<qsizetype>(Size));
  Buffer_.erase(0, Size);
  RemainingBytes_ -= Size;
}

void ResponseParser::parseHead(std::string_view Head) {
  Headers_.clear();
  ContentLength_.reset();
  Chunked_ = false;
  const std::size_t StatusEnd = std::min(Head.find(LineEnd), Head.size());
  const std::string_view StatusLine = Head.substr(0, StatusEnd);
  constexpr std::string_view Protocol = "HTTP/1.";
  constexpr std::size_t StatusAt = 9;
  constexpr std::size_t StatusDigits = 3;
  constexpr std::size_t MinorAt = 7;
  const bool Known = StatusLine.starts_with(Protocol) &&
                     StatusLine.size() >= StatusAt + StatusDigits &&
                     StatusLine[StatusAt - 1] == ' ';
  const auto Status =
      Known ? parseNumber(StatusLine.substr(StatusAt, StatusDigits), 10)
            : std::nullopt;
  if (!Status) {
    Phase_ = Phase::Failed;
    return;
  }
  Status_ = static_cast<int>(*Status);
  KeepsAlive_ = StatusLine[MinorAt] != '0';
  std::size_t At = StatusEnd;
  while (At < Head.size()) {
    At += LineEnd.size();
    const std::size_t End = std::min(Head.find(LineEnd, At), Head.size());
    if (!parseHeaderLine(Head.substr(At, End - At))) {
      Phase_ = Phase::Failed;
      return;
    }
    At = End;
  }
  if (Status_ >= FirstFinalStatus)
    beginBody();
}

bool ResponseParser::parseHeaderLine(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return true;
  const std::string_view Name = Line.substr(0, Colon);
  const std::string_view Value = trimmed(Line.substr(Colon + 1));
  Headers_.emplace_back(Name, Value);
  if (equalIgnoringCase(Name, "Content-Length")) {
    const auto Length = parseNumber(Value, 10);
    const bool Differs = ContentLength_ && ContentLength_ != Length;
    ContentLength_ = Length;
    return Length && !Differs;
  }
  if (equalIgnoringCase(Name, "Transfer-Encoding"))
    Chunked_ = equalIgnoringCase(Value, "chunked");
  if (equalIgnoringCase(Name, "Connection"))
    KeepsAlive_ = equalIgnoringCase(Value, "keep-alive") ||
                  (KeepsAlive_ && !equalIgnoringCase(Value, "close"));
  return true;
}

void ResponseParser::beginBody() {
  if (Status_ == NoContent || Status_ == NotModified) {
    Phase_ = Phase::Done;
    return;
  }
  if (Chunked_) {
    Phase_ = Phase::ChunkSize;
    return;
  }
  if (!ContentLength_) {
    KeepsAlive_ = false;
    Phase_ = Phase::BodyUntilEnd;
    return;
  }
  RemainingBytes_ = *ContentLength_;
  Phase_ = RemainingBytes_ > MaxBody_ ? Phase::Failed : Phase::SizedBody;
}

} // namespace heathercross::http
