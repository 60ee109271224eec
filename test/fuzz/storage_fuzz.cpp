/** \file
 * Fuzzes loading the data folder: arbitrary bytes in its files are either loaded or rejected with an error.
 */

#include <cstddef>
#include <cstdint>
#include <string>

#include "services/file_storage.h"
#include "support/fake_files.h"
#include "support/paused_runtime.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library calls it by this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace plantainlatch;
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    paused_runtime runtime(1);
    fake_files disk;
    // The first byte is the length of the snapshot, which starts with it; the remaining bytes are the newer state file.
    const std::size_t cut = bytes.empty() ? 0 : std::min<std::size_t>(static_cast<unsigned char>(bytes[0]), size);
    if (cut > 0)
        disk.files["data/snapshot.1"].bytes = bytes.substr(0, cut);
    disk.files["data/state.1"].bytes = bytes.substr(cut);
    auto storage = file_storage::create(runtime.hooks(), "data", disk.hooks());
    (*storage)->port().load().status().IgnoreError();
    return 0;
}
