#include "runtime/file_hooks.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

namespace plantainlatch {

namespace {

    constexpr int fileMode = 0640;

    absl::Status statusFromErrno(const std::string& operation, const std::string& path)
    {
        const int error = errno;
        const std::string text = absl::StrCat("can't ", operation, " ", path, ": ", std::strerror(error));
        if (error == ENOSPC || error == EDQUOT)
            return absl::ResourceExhaustedError(text);
        if (error == ENOENT)
            return absl::NotFoundError(text);
        if (error == EACCES || error == EPERM || error == EROFS)
            return absl::PermissionDeniedError(text);
        return absl::UnavailableError(text);
    }

    absl::Status claimFolder(const std::string& folder)
    {
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        if (error)
            return absl::PermissionDeniedError(absl::StrCat("can't create the folder ", folder, ": ", error.message()));
        const std::string path = folder + "/lock";
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
        if (file < 0)
            return statusFromErrno("open", path);
        // The descriptor stays open on purpose: closing it would release the lock.
        if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
            ::close(file);
            return absl::AlreadyExistsError(absl::StrCat("the folder ", folder, " is in use by another process"));
        }
        return absl::OkStatus();
    }

    absl::StatusOr<std::vector<std::string>> listFolder(const std::string& folder)
    {
        std::error_code error;
        std::vector<std::string> names;
        for (const auto& entry : std::filesystem::directory_iterator(folder, error))
            names.push_back(entry.path().filename().string());
        if (error)
            return absl::PermissionDeniedError(absl::StrCat("can't list the folder ", folder, ": ", error.message()));
        return names;
    }

    absl::StatusOr<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return statusFromErrno("read", path);
        std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        if (file.bad())
            return statusFromErrno("read", path);
        return bytes;
    }

    absl::StatusOr<int> openFile(const std::string& path)
    {
        const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
        if (file < 0)
            return statusFromErrno("open", path);
        return file;
    }

    absl::Status appendBytes(int file, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(file, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return statusFromErrno("write", "a file");
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return absl::OkStatus();
    }

    absl::Status syncFile(int file)
    {
        return ::fdatasync(file) == 0 ? absl::OkStatus() : statusFromErrno("sync", "a file");
    }

    absl::Status truncateFile(const std::string& path, std::size_t size)
    {
        return ::truncate(path.c_str(), static_cast<off_t>(size)) == 0 ? absl::OkStatus()
                                                                       : statusFromErrno("truncate", path);
    }

    absl::Status renameFile(const std::string& from, const std::string& to)
    {
        return ::rename(from.c_str(), to.c_str()) == 0 ? absl::OkStatus() : statusFromErrno("rename", from);
    }

    absl::Status removeFile(const std::string& path)
    {
        return ::unlink(path.c_str()) == 0 ? absl::OkStatus() : statusFromErrno("remove", path);
    }

    absl::Status syncFolder(const std::string& folder)
    {
        const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (file < 0)
            return statusFromErrno("open", folder);
        absl::Status status = ::fsync(file) == 0 ? absl::OkStatus() : statusFromErrno("sync", folder);
        ::close(file);
        return status;
    }

} // namespace

file_hooks posixFiles()
{
    file_hooks hooks;
    hooks.claimFolder = claimFolder;
    hooks.list = listFolder;
    hooks.read = readFile;
    hooks.open = openFile;
    hooks.append = appendBytes;
    hooks.sync = syncFile;
    hooks.close = [](int file) { ::close(file); };
    hooks.truncate = truncateFile;
    hooks.rename = renameFile;
    hooks.remove = removeFile;
    hooks.syncFolder = syncFolder;
    return hooks;
}

} // namespace plantainlatch
