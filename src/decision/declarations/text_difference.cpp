#include "decision/declarations/text_difference.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr std::string_view pieceEnds = "]}\n";
    /** A shorter piece is found in many places, and an edit that copies it takes as many bytes as the piece. */
    constexpr std::size_t minimumCopy = 16;

    /** Removes the first piece from `text` and returns it. */
    std::string_view takePiece(std::string_view& text)
    {
        const std::size_t end = text.find_first_of(pieceEnds);
        const std::string_view piece = text.substr(0, end == std::string_view::npos ? end : end + 1);
        text.remove_prefix(piece.size());
        return piece;
    }

    absl::flat_hash_map<std::string_view, std::size_t> findPieces(std::string_view text)
    {
        absl::flat_hash_map<std::string_view, std::size_t> positions;
        const char* const begin = text.data();
        while (!text.empty()) {
            const std::string_view piece = takePiece(text);
            if (piece.size() >= minimumCopy)
                positions.emplace(piece, static_cast<std::size_t>(piece.data() - begin));
        }
        return positions;
    }

} // namespace

std::vector<text_edit> textDifference(std::string_view from, std::string_view to)
{
    const absl::flat_hash_map<std::string_view, std::size_t> positions = findPieces(from);
    std::vector<text_edit> edits(1);
    while (!to.empty()) {
        const std::string_view piece = takePiece(to);
        text_edit& last = edits.back();
        const std::size_t copyEnd = last.copyFrom + last.copySize;
        if (last.added.empty() && from.substr(copyEnd).starts_with(piece)) {
            last.copySize += piece.size();
            continue;
        }
        const auto found = positions.find(piece);
        if (found != positions.end())
            edits.push_back({ found->second, piece.size(), {} });
        else
            last.added.append(piece);
    }
    return edits;
}

absl::StatusOr<std::string> applyTextDifference(std::string_view from, const std::vector<text_edit>& edits)
{
    std::string text;
    for (const text_edit& edit : edits) {
        if (edit.copyFrom > from.size() || edit.copySize > from.size() - edit.copyFrom)
            return absl::InvalidArgumentError(absl::StrCat("an edit copies ", edit.copySize, " bytes from ",
                edit.copyFrom, " of a text of ", from.size(), " bytes"));
        text.append(from.substr(edit.copyFrom, edit.copySize));
        text.append(edit.added);
    }
    return text;
}

} // namespace plantainlatch
